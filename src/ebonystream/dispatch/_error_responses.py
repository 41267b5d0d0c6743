"""The answer of a request that no server served."""

from ebonystream._ids import Monotonic, Seconds
from ebonystream.dispatch._progress import RequestProgress
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.placement import NoCapacity
from ebonystream.request import Response, ResponseVerdict, make_error_response

MAX_RETRY_AFTER_SHARE = 0.3
"""The share of the time left after which a refused caller should be back."""


def respond_with_last_attempt(
    progress: RequestProgress, now: Monotonic
) -> Response:
    """Answer with what the last attempt brought.

    Args:
        progress: The request.
        now: The time.
    """
    answer = progress.last_attempt.response if progress.last_attempt else None
    if answer is not None and answer.verdict is ResponseVerdict.FAILED:
        return Response(
            status=answer.status, headers=answer.headers, body=answer.body
        )
    if progress.may_have_run:
        return make_error_response(EbonystreamError(ErrorKind.OUTCOME_LOST))
    return make_error_response(
        EbonystreamError(ErrorKind.REFUSED_BY_BACKEND),
        retry_after=_find_return(progress, Seconds(0), now),
    )


def respond_no_capacity(
    progress: RequestProgress, found: NoCapacity, now: Monotonic
) -> Response:
    """Answer that no server has room.

    Args:
        progress: The request.
        found: What stood against it.
        now: The time.
    """
    if progress.may_have_run:
        return respond_with_last_attempt(progress, now)
    return make_error_response(
        EbonystreamError(ErrorKind.NO_BACKEND, found.reason),
        retry_after=_find_return(progress, found.retry_after, now),
    )


def respond_expired(progress: RequestProgress) -> Response:
    """Answer a request whose time is over.

    Args:
        progress: The request.
    """
    if progress.attempt_count:
        return make_error_response(EbonystreamError(ErrorKind.STILL_RUNNING))
    return make_error_response(
        EbonystreamError(ErrorKind.NO_BACKEND, 'time is over')
    )


def _find_return(
    progress: RequestProgress, after: Seconds, now: Monotonic
) -> Seconds:
    """Find when a refused caller should be back, in seconds."""
    deadline = progress.request.deadline or progress.deadline
    left = max(0, deadline - now)
    return Seconds(min(after, left * MAX_RETRY_AFTER_SHARE))
