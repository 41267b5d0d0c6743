"""Decoding of backend servers' responses, encoding of callers' responses."""

from ebonystream._calls import Headers
from ebonystream.errors import ErrorKind
from ebonystream.http1 import Message, encode_response
from ebonystream.link import ResponseMatcher
from ebonystream.platform._headers import (
    ATTEMPT_ID,
    AUTHENTICATE,
    HOP_BY_HOP_HEADERS,
    NOT_EXECUTED,
    RESPONSE_SEAL,
    RETRY_AFTER,
    drop_headers,
    find_header,
)
from ebonystream.platform._health import parse_load
from ebonystream.platform._notices import parse_notice
from ebonystream.request import (
    Request,
    Response,
    ResponseVerdict,
    ServerResponse,
)

CONTENT_ENCODING = b'content-encoding'
KEY_SCHEME = b'Token'
FIRST_ERROR_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500
MISDIRECTED_STATUS = 421

NOT_RUN_STATUSES = frozenset((408, 429, 503))
"""Statuses that tell callers that their request did not run; passed on only
where the server states it."""


def make_response_matcher(request: Request) -> ResponseMatcher:
    """Return a predicate that matches the response to a request.

    Servers echo the attempt id in all responses, refusals too. A response
    without one is a late copy of the response to a health check.

    Args:
        request: The request whose response is expected.
    """
    attempt_id = request.attempt_id.encode('latin-1')

    def matches(headers: Headers) -> bool:
        return find_header(headers, ATTEMPT_ID) == attempt_id

    return matches


def decode_server_response(message: Message) -> ServerResponse:
    """Decode a backend server's response to a request.

    Args:
        message: The HTTP response that the server sent.
    """
    return ServerResponse(
        verdict=_classify(message),
        status=message.status,
        headers=drop_headers(message.headers, HOP_BY_HOP_HEADERS),
        body=message.body,
        load=parse_load(message.headers),
        notice=parse_notice(message),
    )


def encode_caller_response(response: Response, close: bool) -> bytes:
    """Encode the response that is sent to a caller.

    Args:
        response: The response.
        close: Whether to announce that the connection closes after it.
    """
    headers = list(response.headers)
    if response.retry_after is not None:
        headers.append((RETRY_AFTER, b'%.3f' % response.retry_after))
    if response.error is ErrorKind.UNAUTHORIZED:
        headers.append((AUTHENTICATE, KEY_SCHEME))
    if close:
        headers.append((b'connection', b'close'))
    return encode_response(response.status, headers, response.body)


def _classify(message: Message) -> ResponseVerdict:
    if message.status == MISDIRECTED_STATUS:
        return ResponseVerdict.MISDIRECTED
    if find_header(message.headers, NOT_EXECUTED) is not None:
        return _classify_not_executed(message.status)
    sealed = find_header(message.headers, RESPONSE_SEAL) is not None
    encoded = find_header(message.headers, CONTENT_ENCODING) is not None
    if not sealed or encoded or message.status in NOT_RUN_STATUSES:
        return ResponseVerdict.INVALID
    if message.status < FIRST_SERVER_ERROR_STATUS:
        return ResponseVerdict.SERVED
    return ResponseVerdict.FAILED


def _classify_not_executed(status: int) -> ResponseVerdict:
    """Classify a response that denies that the request ran.

    A success or a redirect contradicts it: the request may have run.
    """
    if status < FIRST_ERROR_STATUS:
        return ResponseVerdict.INVALID
    return ResponseVerdict.NOT_RUN
