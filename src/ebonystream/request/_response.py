"""Responses of backend servers, and responses to callers."""

import enum

import attrs
import msgspec

from ebonystream._calls import Headers
from ebonystream._ids import Seconds
from ebonystream.errors import EbonystreamError, ErrorKind, Outcome
from ebonystream.roster import LoadReport, ServerNotice

JSON_HEADER = (b'content-type', b'application/json')


class ResponseVerdict(enum.Enum):
    """Whether a request was executed, according to the server's response."""

    SERVED = 'served'
    """The request ran, and the response is complete."""

    FAILED = 'failed'
    """The request ran or may have run, and the server reports a failure."""

    NOT_RUN = 'not_run'
    """The server states that it did not run the request."""

    MISDIRECTED = 'misdirected'
    """Another server now has the address; the request did not run."""

    INVALID = 'spoiled'
    """The response cannot be verified as the server's own and complete."""


@attrs.frozen(kw_only=True)
class ServerResponse:
    """The response of a backend server to one request.

    Attributes:
        verdict: Whether the request was executed.
        status: HTTP status code.
        headers: End-to-end header fields.
        body: Complete body.
        load: The server's load; None if the response does not report it.
        notice: Whether the server is leaving or refuses requests.
    """

    verdict: ResponseVerdict
    status: int
    headers: Headers
    body: bytes
    load: LoadReport | None
    notice: ServerNotice = ServerNotice()


@attrs.frozen(kw_only=True)
class Response:
    """A response to a caller.

    Attributes:
        status: HTTP status code.
        headers: End-to-end header fields.
        body: Complete body.
        error: Kind of error if this host generated the response.
        retry_after: Delay before a retry, in seconds; None if none is advised.
        close: Whether the connection must be closed after the response.
    """

    status: int
    headers: Headers
    body: bytes
    error: ErrorKind | None = None
    retry_after: Seconds | None = None
    close: bool = False


class _ErrorBody(msgspec.Struct):
    error: str
    outcome: Outcome
    advice: str
    detail: str


def make_error_response(
    error: EbonystreamError,
    *,
    retry_after: Seconds | None = None,
    close: bool = False,
) -> Response:
    """Return the response that reports an error to the caller.

    Args:
        error: Error to report.
        retry_after: Delay before the caller should retry, in seconds.
        close: Whether the connection must be closed after the response.
    """
    error_body = _ErrorBody(
        error=error.kind.value,
        outcome=error.answer.outcome,
        advice=error.answer.advice,
        detail=error.detail,
    )
    return Response(
        status=error.answer.status,
        headers=(JSON_HEADER,),
        body=msgspec.json.encode(error_body),
        error=error.kind,
        retry_after=retry_after,
        close=close,
    )
