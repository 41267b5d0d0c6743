"""Responses to requests that no backend server completed."""

from ebonystream._ids import Monotonic, Seconds
from ebonystream.dispatch._progress import Progress
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.placement import NoCapacity
from ebonystream.request import Response, Verdict, refuse_request

RETURN_SHARE = 0.3
"""Upper bound on Retry-After, as a share of the time left to the caller."""


def answer_last(progress: Progress, now: Monotonic) -> Response:
    """Build the response from the result of the last attempt.

    Args:
        progress: State of the request.
        now: Current time on the monotonic clock, in seconds.
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
        retry_after=_limit_retry_after(progress, Seconds(0), now),
    )


def refuse_full(
    progress: Progress, rejection: NoCapacity, now: Monotonic
) -> Response:
    """Build the response to a request for which no server has capacity.

    If an earlier attempt may have run, respond with its result instead.

    Args:
        progress: State of the request.
        rejection: Why no server was selected, and when to retry.
        now: Current time on the monotonic clock, in seconds.
    """
    if progress.may_have_run:
        return answer_last(progress, now)
    return refuse_request(
        EbonystreamError(ErrorKind.NO_BACKEND, rejection.reason),
        retry_after=_limit_retry_after(progress, rejection.retry_after, now),
    )


def give_up(progress: Progress) -> Response:
    """Build the response to a request whose deadline has passed.

    Args:
        progress: State of the request.
    """
    if progress.sends:
        return refuse_request(EbonystreamError(ErrorKind.STILL_RUNNING))
    return refuse_request(
        EbonystreamError(ErrorKind.NO_BACKEND, 'time is over')
    )


def _limit_retry_after(
    progress: Progress, after: Seconds, now: Monotonic
) -> Seconds:
    """Limit Retry-After to a share of the time that the caller has left."""
    deadline = progress.request.deadline or progress.until
    remaining = max(0, deadline - now)
    return Seconds(min(after, remaining * RETURN_SHARE))
