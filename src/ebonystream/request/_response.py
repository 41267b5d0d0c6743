"""What a backend server answers, and what the caller gets."""

import enum

import attrs
import msgspec

from ebonystream._calls import Headers
from ebonystream._ids import Seconds
from ebonystream.errors import EbonystreamError, ErrorKind, Outcome
from ebonystream.roster import LoadReport

JSON_HEADER = (b'content-type', b'application/json')


class ResponseVerdict(enum.Enum):
    """What a server's answer says of the request."""

    SERVED = 'served'
    """It ran, and this is its whole answer."""

    FAILED = 'failed'
    """It ran or may have, and the server answers with a failure."""

    NOT_RUN = 'not_run'
    """The server says that it didn't run the request."""

    MISDIRECTED = 'misdirected'
    """Another server has the address; the request was not run."""

    INVALID = 'spoiled'
    """It can't be taken for the server's own whole answer."""


@attrs.frozen(kw_only=True)
class ServerResponse:
    """A server's answer to one request.

    Attributes:
        verdict: What it says of the request.
        status: The HTTP status.
        headers: End-to-end header fields.
        body: The whole body.
        load: The server's load, where the answer tells it.
    """

    verdict: ResponseVerdict
    status: int
    headers: Headers
    body: bytes
    load: LoadReport | None


@attrs.frozen(kw_only=True)
class Response:
    """What a caller gets.

    Attributes:
        status: The HTTP status.
        headers: End-to-end header fields.
        body: The whole body.
        error: The kind of error where the system itself answers.
        retry_after: When to come back, in seconds, where that helps.
        close: Whether the connection can't carry another request.
    """

    status: int
    headers: Headers
    body: bytes
    error: ErrorKind | None = None
    retry_after: Seconds | None = None
    close: bool = False


class _Explanation(msgspec.Struct):
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
    """Make the system's own answer for an error.

    Args:
        error: What was wrong.
        retry_after: When the caller should come back, in seconds.
        close: Whether the connection can't carry another request.
    """
    explanation = _Explanation(
        error=error.kind.value,
        outcome=error.answer.outcome,
        advice=error.answer.advice,
        detail=error.detail,
    )
    return Response(
        status=error.answer.status,
        headers=(JSON_HEADER,),
        body=msgspec.json.encode(explanation),
        error=error.kind,
        retry_after=retry_after,
        close=close,
    )
