"""Answers: as backend servers give them, and as callers get them."""

from ebonystream._calls import Headers
from ebonystream.http1 import Message, encode_response
from ebonystream.link import ResponseMatcher
from ebonystream.platform._headers import (
    ATTEMPT_ID,
    HOP_BY_HOP_HEADERS,
    NOT_EXECUTED,
    RESPONSE_SEAL,
    RETRY_AFTER,
    drop_headers,
    find_header,
)
from ebonystream.platform._health import parse_load
from ebonystream.request import (
    Request,
    Response,
    ResponseVerdict,
    ServerResponse,
)

CONTENT_ENCODING = b'content-encoding'
FIRST_SERVER_ERROR_STATUS = 500
MISDIRECTED_STATUS = 421


def make_response_matcher(request: Request) -> ResponseMatcher:
    """Make the test that finds the answer of one request.

    An answer that names no attempt is taken: refusals may name none.

    Args:
        request: The request.
    """
    name = request.attempt_id.encode('latin-1')

    def is_own(headers: Headers) -> bool:
        return find_header(headers, ATTEMPT_ID) in {None, name}

    return is_own


def decode_server_response(message: Message) -> ServerResponse:
    """Read a server's answer to a request.

    Args:
        message: The HTTP response.
    """
    return ServerResponse(
        verdict=_judge(message),
        status=message.status,
        headers=drop_headers(message.headers, HOP_BY_HOP_HEADERS),
        body=message.body,
        load=parse_load(message.headers),
    )


def encode_caller_response(response: Response, close: bool) -> bytes:
    """Spell what a caller gets.

    Args:
        response: The answer.
        close: Whether the connection closes after it.
    """
    headers = list(response.headers)
    if response.retry_after is not None:
        headers.append((RETRY_AFTER, b'%.3f' % response.retry_after))
    if close:
        headers.append((b'connection', b'close'))
    return encode_response(response.status, headers, response.body)


def _judge(message: Message) -> ResponseVerdict:
    if message.status == MISDIRECTED_STATUS:
        return ResponseVerdict.MISDIRECTED
    if find_header(message.headers, NOT_EXECUTED) is not None:
        return ResponseVerdict.NOT_RUN
    sealed = find_header(message.headers, RESPONSE_SEAL) is not None
    encoded = find_header(message.headers, CONTENT_ENCODING) is not None
    if not sealed or encoded:
        return ResponseVerdict.INVALID
    if message.status < FIRST_SERVER_ERROR_STATUS:
        return ResponseVerdict.SERVED
    return ResponseVerdict.FAILED
