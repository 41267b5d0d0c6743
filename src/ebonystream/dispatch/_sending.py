"""Attempts that are reported to the observers, however they end."""

from ebonystream._ids import Seconds
from ebonystream.dispatch._attempt import Attempt
from ebonystream.dispatch._progress import Dispatcher, RequestProgress
from ebonystream.placement import Candidate


async def run_observed_attempt(
    dispatcher: Dispatcher, progress: RequestProgress, candidate: Candidate
) -> Attempt:
    """Make an attempt and report it to the observers.

    An attempt that is cancelled is reported as abandoned.

    Args:
        dispatcher: The dependencies of dispatch.
        progress: State of the request.
        candidate: Server that the request is sent to.
    """
    progress.record_start(candidate.probe_result.server.entry.id)
    started_at = dispatcher.timers.now()
    abandoned = True
    try:
        attempt = await dispatcher.send_attempt(
            progress.request, candidate, progress.deadline
        )
        abandoned = False
    finally:
        if abandoned:
            duration = Seconds(dispatcher.timers.now() - started_at)
            _notify_observers(
                dispatcher,
                progress,
                Attempt(
                    candidate=candidate,
                    response=None,
                    failure=None,
                    duration=duration,
                ),
            )
    progress.record_result(attempt)
    _notify_observers(dispatcher, progress, attempt)
    return attempt


def _notify_observers(
    dispatcher: Dispatcher, progress: RequestProgress, attempt: Attempt
) -> None:
    for observe in dispatcher.attempt_observers:
        observe(progress.request, progress.route, attempt)
