"""Responses to requests that no backend server completed."""

from ebonystream._ids import Monotonic, Seconds
from ebonystream.dispatch._progress import RequestProgress, SendRefusal
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.placement import NoCapacity
from ebonystream.request import Response, ResponseVerdict, make_error_response

MAX_RETRY_AFTER_SHARE = 0.3
"""Upper bound on Retry-After, as a share of the time left to the caller."""


def respond_with_last_attempt(
    progress: RequestProgress, now: Monotonic
) -> Response:
    """Build the response from the result of the last attempt.

    Args:
        progress: State of the request.
        now: Current time on the monotonic clock, in seconds.
    """
    response = progress.last_attempt.response if progress.last_attempt else None
    if response is not None and response.verdict is ResponseVerdict.FAILED:
        return Response(
            status=response.status, headers=response.headers, body=response.body
        )
    if progress.may_have_run:
        return make_error_response(EbonystreamError(ErrorKind.OUTCOME_LOST))
    return make_error_response(
        EbonystreamError(ErrorKind.REFUSED_BY_BACKEND),
        retry_after=_limit_retry_after(progress, Seconds(0), now),
    )


def respond_no_capacity(
    progress: RequestProgress, rejection: NoCapacity, now: Monotonic
) -> Response:
    """Build the response to a request for which no server has capacity.

    If an earlier attempt may have run, respond with its result instead.

    Args:
        progress: State of the request.
        rejection: Why no server was selected, and when to retry.
        now: Current time on the monotonic clock, in seconds.
    """
    if progress.may_have_run:
        return respond_with_last_attempt(progress, now)
    return make_error_response(
        EbonystreamError(ErrorKind.NO_BACKEND, rejection.reason),
        retry_after=_limit_retry_after(progress, rejection.retry_after, now),
    )


def respond_not_sent(
    progress: RequestProgress, refusal: SendRefusal, now: Monotonic
) -> Response:
    """Build the response to a request that must not be sent any more.

    If an earlier attempt may have run, respond with its result instead.

    Args:
        progress: State of the request.
        refusal: Why it must not be sent.
        now: Current time on the monotonic clock, in seconds.
    """
    if progress.may_have_run:
        return respond_with_last_attempt(progress, now)
    return make_error_response(
        EbonystreamError(refusal.error), retry_after=refusal.retry_after
    )


def respond_expired(progress: RequestProgress) -> Response:
    """Build the response to a request whose deadline has passed.

    Args:
        progress: State of the request.
    """
    if progress.attempt_count:
        return make_error_response(EbonystreamError(ErrorKind.STILL_RUNNING))
    return make_error_response(
        EbonystreamError(ErrorKind.NO_BACKEND, 'time is over')
    )


def _limit_retry_after(
    progress: RequestProgress, delay: Seconds, now: Monotonic
) -> Seconds:
    """Limit Retry-After to a share of the time that the caller has left."""
    deadline = progress.request.deadline or progress.deadline
    remaining = max(0, deadline - now)
    return Seconds(min(delay, remaining * MAX_RETRY_AFTER_SHARE))
