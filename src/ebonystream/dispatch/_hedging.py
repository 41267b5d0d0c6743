"""Attempts, and second ones beside them where the first are slow."""

import trio

from ebonystream._ids import Seconds
from ebonystream.dispatch._attempt import Attempt
from ebonystream.dispatch._progress import Dispatcher, Progress
from ebonystream.placement import NoRoom, Offer

HEDGE_TIMES = 1.6
"""How many times as long as expected an attempt takes before another begins."""

HEDGE_MIN_SHARE = 0.3
"""The share of its objective that a request waits at least before that."""

BOTH = 2


async def attempt_at(
    dispatcher: Dispatcher, progress: Progress, offer: Offer
) -> Attempt:
    """Make an attempt; one that is abandoned is observed too.

    Args:
        dispatcher: What it takes.
        progress: The request.
        offer: Where it is sent to.
    """
    progress.begin(offer.sighting.server.entry.id)
    began = dispatcher.timers.now()
    abandoned = True
    try:
        attempt = await dispatcher.send(progress.request, offer, progress.until)
        abandoned = False
    finally:
        if abandoned:
            took = Seconds(dispatcher.timers.now() - began)
            _tell(
                dispatcher,
                progress,
                Attempt(offer=offer, answer=None, refused=None, took=took),
            )
    progress.end(attempt)
    _tell(dispatcher, progress, attempt)
    return attempt


async def attempt_hedged(
    dispatcher: Dispatcher, progress: Progress, offer: Offer
) -> Attempt:
    """Make an attempt, and another one beside it when it is slow.

    It answers servers that turn slow under a request that may run again:
    the first good answer counts, and the other attempt is ended.

    Args:
        dispatcher: What it takes.
        progress: A request that may run more than once.
        offer: Where it is sent to at first.
    """
    into, ended = trio.open_memory_channel[Attempt](BOTH)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _attempt_into, dispatcher, progress, offer, into.clone()
        )
        nursery.start_soon(
            _hedge_into, dispatcher, progress, _get_delay(progress, offer), into
        )
        attempt = await _choose(ended)
        nursery.cancel_scope.cancel()
    return attempt


def _get_delay(progress: Progress, offer: Offer) -> Seconds:
    least = HEDGE_MIN_SHARE * progress.route.objective
    return Seconds(max(least, HEDGE_TIMES * offer.expected))


async def _choose(ended: trio.MemoryReceiveChannel[Attempt]) -> Attempt:
    """Wait for a good answer, or for the end of all attempts."""
    last: Attempt | None = None
    async for attempt in ended:
        last = attempt
        if attempt.is_served():
            break
    assert last is not None, 'an attempt ended'
    return last


async def _attempt_into(
    dispatcher: Dispatcher,
    progress: Progress,
    offer: Offer,
    into: trio.MemorySendChannel[Attempt],
) -> None:
    with into:
        into.send_nowait(await attempt_at(dispatcher, progress, offer))


async def _hedge_into(
    dispatcher: Dispatcher,
    progress: Progress,
    delay: Seconds,
    into: trio.MemorySendChannel[Attempt],
) -> None:
    """Make the second attempt, where it is due and a server is idle."""
    with into:
        await dispatcher.timers.wait(delay)
        if progress.last is not None or not _may_hedge(progress):
            return
        offer = await dispatcher.find_room(progress.want())
        if isinstance(offer, NoRoom) or not offer.free:
            return
        now = dispatcher.timers.now()
        if dispatcher.budget.take(progress.service, now):
            into.send_nowait(await attempt_at(dispatcher, progress, offer))


def _may_hedge(progress: Progress) -> bool:
    return progress.sends < progress.route.attempts


def _tell(dispatcher: Dispatcher, progress: Progress, attempt: Attempt) -> None:
    for observe in dispatcher.observers:
        observe(progress.request, progress.route, attempt)
