"""One attempt that is observed, however it ends."""

from ebonystream._ids import Seconds
from ebonystream.dispatch._attempt import Attempt
from ebonystream.dispatch._progress import Dispatcher, RequestProgress
from ebonystream.placement import Candidate


async def run_observed_attempt(
    dispatcher: Dispatcher, progress: RequestProgress, offer: Candidate
) -> Attempt:
    """Make an attempt; one that is abandoned is observed too.

    Args:
        dispatcher: What it takes.
        progress: The request.
        offer: Where it is sent to.
    """
    progress.record_start(offer.probe_result.server.entry.id)
    began = dispatcher.timers.now()
    abandoned = True
    try:
        attempt = await dispatcher.send_attempt(
            progress.request, offer, progress.deadline
        )
        abandoned = False
    finally:
        if abandoned:
            took = Seconds(dispatcher.timers.now() - began)
            _tell(
                dispatcher,
                progress,
                Attempt(
                    offer=offer, response=None, failure=None, duration=took
                ),
            )
    progress.record_result(attempt)
    _tell(dispatcher, progress, attempt)
    return attempt


def _tell(
    dispatcher: Dispatcher, progress: RequestProgress, attempt: Attempt
) -> None:
    for observe in dispatcher.attempt_observers:
        observe(progress.request, progress.route, attempt)
