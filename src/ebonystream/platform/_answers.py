"""Answers: as backend servers give them, and as callers get them."""

from ebonystream._calls import Headers
from ebonystream.http1 import Message, spell_response
from ebonystream.link import IsOwn
from ebonystream.platform._headers import (
    ATTEMPT_ID,
    CONNECTION_HEADERS,
    NOT_EXECUTED,
    RESPONSE_SEAL,
    RETRY_AFTER,
    drop_headers,
    find_header,
)
from ebonystream.platform._health import read_load
from ebonystream.request import Request, Response, ServerAnswer, Verdict

CONTENT_ENCODING = b'content-encoding'
FIRST_SERVER_FAILURE = 500
MISDIRECTED = 421


def make_is_own(request: Request) -> IsOwn:
    """Make the test that finds the answer of one request.

    An answer that names no attempt is taken: refusals may name none.

    Args:
        request: The request.
    """
    name = request.attempt.encode('latin-1')

    def is_own(headers: Headers) -> bool:
        return find_header(headers, ATTEMPT_ID) in {None, name}

    return is_own


def read_answer(message: Message) -> ServerAnswer:
    """Read a server's answer to a request.

    Args:
        message: The HTTP response.
    """
    return ServerAnswer(
        verdict=_judge(message),
        status=message.status,
        headers=drop_headers(message.headers, CONNECTION_HEADERS),
        body=message.body,
        load=read_load(message.headers),
    )


def spell_caller_response(response: Response, close: bool) -> bytes:
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
    return spell_response(response.status, headers, response.body)


def _judge(message: Message) -> Verdict:
    if message.status == MISDIRECTED:
        return Verdict.MISDIRECTED
    if find_header(message.headers, NOT_EXECUTED) is not None:
        return Verdict.NOT_RUN
    sealed = find_header(message.headers, RESPONSE_SEAL) is not None
    encoded = find_header(message.headers, CONTENT_ENCODING) is not None
    if not sealed or encoded:
        return Verdict.SPOILED
    if message.status < FIRST_SERVER_FAILURE:
        return Verdict.SERVED
    return Verdict.FAILED
