"""Responses that report an error to the caller."""

import msgspec

from ebonystream.call._call import CallResponse
from ebonystream.errors import EbonystreamError, Outcome

JSON_HEADERS = ((b'content-type', b'application/json'),)


class _ErrorBody(msgspec.Struct):
    """The JSON body of an error response.

    Attributes:
        error: Kind of error.
        outcome: `not_run` or `unknown`.
        detail: Cause of this error.
        advice: What the caller can do.
    """

    error: str
    outcome: str
    detail: str
    advice: str


def make_error_response(
    error: EbonystreamError, *, certain: bool = True
) -> CallResponse:
    """Return the response that reports an error to the caller.

    Args:
        error: Error to report.
        certain: False if another host may own the call's key: a copy of the
            call may run there, so the outcome is reported as unknown.
    """
    answer = error.answer
    outcome = answer.outcome if certain else Outcome.UNKNOWN
    error_body = _ErrorBody(
        error=error.kind.value,
        outcome=outcome.value,
        detail=error.detail,
        advice=answer.advice,
    )
    return CallResponse(
        outcome=outcome,
        status=answer.status,
        headers=JSON_HEADERS,
        body=msgspec.json.encode(error_body),
        error=error.kind,
    )
