"""The attempts of one call, the late one hedged; the first that ran wins."""

from collections.abc import Callable
from functools import partial

import attrs

from ebonystream._ids import Monotonic, Seconds, ServerId
from ebonystream.backend import ABANDONED, Attempt, AttemptKind
from ebonystream.call import Call, CallResponse
from ebonystream.composition._extra_attempts import HEDGE_LATENCY_FACTOR
from ebonystream.errors import EbonystreamError, Outcome
from ebonystream.routing import Waiter, cancel_wait, enqueue_call
from measure.hosts import Host
from measure.loop import Loop
from measure.wire import Finish, Stop
from measure.world import Arrival

GOOD = Attempt(
    AttemptKind.ANSWERED,
    answer=CallResponse(outcome=Outcome.RAN, status=200, headers=(), body=b''),
)


@attrs.define(kw_only=True, eq=False)
class Race:
    """One call.

    Attributes:
        arrival: The call as its client sent it.
        host: Where it came to.
        call: The call as the product sees it.
        tried: Servers that it was sent to.
        cancels: Cancels each attempt that is under way.
        end: How it ended so far.
        over: Whether its client has the answer.
    """

    arrival: Arrival
    host: Host
    call: Call
    tried: set[ServerId] = attrs.field(factory=set)
    cancels: dict[Waiter, Stop] = attrs.field(factory=dict)
    end: str = ''
    over: bool = False

    def take(self, waiting: Waiter, end: str) -> bool:
        """Take the end of an attempt; True where it ends the race."""
        self.cancels.pop(waiting, None)
        if not self.end or end in {'ran', 'late'}:
            self.end = end
        self.over = end == 'ran' or not self.cancels
        return self.over


SendCall = Callable[[Race, ServerId, Callable[[bool], None]], Stop]
"""Sends an attempt and tells whether its answer is whole."""


def plan_hedge(race: Race, loop: Loop, begin: Callable[[Race], None]) -> None:
    """Send a call a second time where it is late and the budget allows it."""
    host = race.host
    host.hedges.record_first_attempt()
    usual = host.usual.get_usual(race.call.route)

    def hedge() -> None:
        if race.tried and not race.over and host.hedges.try_acquire():
            begin(race)

    if usual:
        loop.call_after(HEDGE_LATENCY_FACTOR * usual, hedge)


def begin_attempt(
    race: Race,
    *,
    loop: Loop,
    send: SendCall,
    finish: Finish,
    tick: Callable[[Host], None],
) -> None:
    """Let a call wait for a server that it was not sent to."""
    host = race.host
    waiting = Waiter(
        call=race.call,
        tried=frozenset(race.tried),
        rank=host.rank(race.call),
        queued_at=Monotonic(loop.now),
        wake=lambda: _wake(race, waiting, loop, send=send, end=end),
    )
    end = partial(_end, race, waiting, finish)

    def expire() -> None:
        if waiting in race.cancels and waiting.slot is None:
            cancel_wait(host.exchange, waiting)
            end('late')

    race.cancels[waiting] = partial(cancel_wait, host.exchange, waiting)
    try:
        is_usable = partial(host.may_take, race.call)
        enqueue_call(host.exchange, waiting, host.directory, is_usable)
    except EbonystreamError as error:
        end(error.kind.value)
        return
    if waiting.slot is None and waiting.error is None:
        loop.call_after(max(0, race.call.deadline - loop.now), expire)
        tick(host)


def _wake(
    race: Race,
    waiting: Waiter,
    loop: Loop,
    *,
    send: SendCall,
    end: Callable[[str], None],
) -> None:
    if waiting.slot is None:
        end(waiting.error.kind.value if waiting.error else 'late')
        return
    view = waiting.slot.server
    began = loop.now

    def learn(attempt: Attempt) -> None:
        took = Seconds(loop.now - began)
        race.host.learn(race.call, view, attempt, took)

    def ended(whole: bool) -> None:
        if waiting not in race.cancels:
            return
        learn(GOOD if whole else ABANDONED)
        end('ran' if whole else 'late')

    def cancel() -> None:
        stop()
        learn(ABANDONED)

    race.tried.add(view.id)
    stop = send(race, view.id, ended)
    race.cancels[waiting] = cancel


def _end(race: Race, waiting: Waiter, finish: Finish, end: str) -> None:
    if not race.take(waiting, end):
        return
    finish(race.arrival, race.end)
    while race.cancels:
        race.cancels.popitem()[1]()
