"""One attempt that is observed, however it ends."""

from ebonystream._ids import Seconds
from ebonystream.dispatch._attempt import Attempt
from ebonystream.dispatch._progress import Dispatcher, Progress
from ebonystream.placement import Offer


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


def _tell(dispatcher: Dispatcher, progress: Progress, attempt: Attempt) -> None:
    for observe in dispatcher.observers:
        observe(progress.request, progress.route, attempt)
