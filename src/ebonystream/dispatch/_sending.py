"""Attempts that are reported to the observers, however they end."""

from ebonystream._ids import Seconds
from ebonystream.dispatch._attempt import Attempt
from ebonystream.dispatch._progress import Dispatcher, Progress
from ebonystream.placement import Candidate


async def attempt_at(
    dispatcher: Dispatcher, progress: Progress, offer: Candidate
) -> Attempt:
    """Make an attempt and report it to the observers.

    An attempt that is cancelled is reported as abandoned.

    Args:
        dispatcher: The dependencies of dispatch.
        progress: State of the request.
        offer: Server that the request is sent to.
    """
    progress.begin(offer.probe_result.server.entry.id)
    started = dispatcher.timers.now()
    abandoned = True
    try:
        attempt = await dispatcher.send(progress.request, offer, progress.until)
        abandoned = False
    finally:
        if abandoned:
            took = Seconds(dispatcher.timers.now() - started)
            _notify_observers(
                dispatcher,
                progress,
                Attempt(offer=offer, answer=None, refused=None, took=took),
            )
    progress.end(attempt)
    _notify_observers(dispatcher, progress, attempt)
    return attempt


def _notify_observers(
    dispatcher: Dispatcher, progress: Progress, attempt: Attempt
) -> None:
    for observe in dispatcher.observers:
        observe(progress.request, progress.route, attempt)
