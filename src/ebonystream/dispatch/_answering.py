"""The answer of a request that no server served."""

from ebonystream._ids import Monotonic, Seconds
from ebonystream.dispatch._progress import Progress
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.placement import NoRoom
from ebonystream.request import Response, Verdict, refuse_request

RETURN_SHARE = 0.3
"""The share of the time left after which a refused caller should be back."""


def answer_last(progress: Progress, now: Monotonic) -> Response:
    """Answer with what the last attempt brought.

    Args:
        progress: The request.
        now: The time.
    """
    answer = progress.last.answer if progress.last else None
    if answer is not None and answer.verdict is Verdict.FAILED:
        return Response(
            status=answer.status, headers=answer.headers, body=answer.body
        )
    if progress.may_have_run:
        return refuse_request(EbonystreamError(ErrorKind.OUTCOME_LOST))
    return refuse_request(
        EbonystreamError(ErrorKind.REFUSED_BY_BACKEND),
        retry_after=_find_return(progress, Seconds(0), now),
    )


def refuse_full(progress: Progress, found: NoRoom, now: Monotonic) -> Response:
    """Answer that no server has room.

    Args:
        progress: The request.
        found: What stood against it.
        now: The time.
    """
    if progress.may_have_run:
        return answer_last(progress, now)
    return refuse_request(
        EbonystreamError(ErrorKind.NO_BACKEND, found.why),
        retry_after=_find_return(progress, found.after, now),
    )


def give_up(progress: Progress) -> Response:
    """Answer a request whose time is over.

    Args:
        progress: The request.
    """
    if progress.sends:
        return refuse_request(EbonystreamError(ErrorKind.STILL_RUNNING))
    return refuse_request(
        EbonystreamError(ErrorKind.NO_BACKEND, 'time is over')
    )


def _find_return(progress: Progress, after: Seconds, now: Monotonic) -> Seconds:
    """Find when a refused caller should be back, in seconds."""
    deadline = progress.request.deadline or progress.until
    left = max(0, deadline - now)
    return Seconds(min(after, left * RETURN_SHARE))
