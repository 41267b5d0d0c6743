"""Send one request on a pooled connection and receive its response."""

from contextlib import closing

import attrs
import trio

from ebonystream._address import ServerAddress
from ebonystream._calls import Headers
from ebonystream._ids import Seconds
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.http1 import (
    RECEIVE_BYTES,
    EncodedMessage,
    Message,
    MessageReader,
    ReaderLimits,
    SplitMessage,
    make_response_reader,
)
from ebonystream.link._buffers import BufferShare, ResponseBuffers
from ebonystream.link._interface import (
    Exchange,
    ExchangeFailure,
    ExchangeResult,
    MaySend,
    ResponseMatcher,
    permit_always,
)
from ebonystream.link._pool import ConnectionPool

MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 16_777_216
RESPONSE_LIMITS = ReaderLimits(
    head_bytes=MAX_HEAD_BYTES, body_bytes=MAX_BODY_BYTES
)
MAX_UNMATCHED_RESPONSES = 4
"""Responses to other requests that one exchange discards before it fails."""

KEEP_ALIVE_HEADER = b'keep-alive'
MAX_KEEP_ALIVE_DIGITS = 9
KEEP_ALIVE_MARGIN = Seconds(1)
"""Subtracted from the server's keep-alive timeout, so that no request is sent
on a connection that the server is about to close."""

CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)
OVERSIZE_KINDS = frozenset((ErrorKind.HEAD_TOO_LARGE, ErrorKind.BODY_TOO_LARGE))


@attrs.frozen
class _MatchingResponse:
    """The response to a request.

    Attributes:
        message: The response.
        unmatched_count: Number of responses to other requests before it.
    """

    message: Message
    unmatched_count: int


def make_exchange(
    *, pool: ConnectionPool, buffers: ResponseBuffers | None = None
) -> Exchange:
    """Return a function that performs exchanges on pooled connections.

    Args:
        pool: Pool that connections are taken from and returned to.
        buffers: Bounds the memory of the responses of all exchanges; None for
            a bound of their own.
    """
    shared_buffers = buffers or ResponseBuffers()

    async def exchange(
        at: ServerAddress,
        request: EncodedMessage,
        matches: ResponseMatcher,
        may_send: MaySend = permit_always,
    ) -> ExchangeResult:
        stream = await pool.acquire(at)
        if stream is None:
            return ExchangeFailure.UNREACHABLE
        if not may_send():
            await pool.release(at, stream)
            return ExchangeFailure.WITHHELD
        result: ExchangeResult = ExchangeFailure.INTERRUPTED
        usable = False
        try:
            with shared_buffers.open_share() as share:
                result, usable = await perform_exchange(
                    stream, request, matches, share
                )
        finally:
            if not usable:
                await trio.aclose_forcefully(stream)
        if isinstance(result, Message) and usable:
            await pool.release(
                at, stream, idle_timeout=_read_idle_timeout(result.headers)
            )
        return result

    return exchange


async def perform_exchange(
    stream: trio.abc.Stream,
    request: EncodedMessage,
    matches: ResponseMatcher,
    share: BufferShare,
) -> tuple[ExchangeResult, bool]:
    """Send a request and wait for its response.

    A connection on which the server sent anything else is not used again:
    what it sends next may be more of the same.

    Args:
        stream: Connection without an outstanding request.
        request: The encoded request.
        matches: Returns whether a response answers this request; others
            are discarded.
        share: Counts the bytes received.

    Returns:
        The result, and whether the connection can carry another request.
    """
    with closing(make_response_reader(RESPONSE_LIMITS)) as reader:
        return await _perform(stream, request, matches, reader, share)


async def _perform(
    stream: trio.abc.Stream,
    request: EncodedMessage,
    matches: ResponseMatcher,
    reader: MessageReader,
    share: BufferShare,
) -> tuple[ExchangeResult, bool]:
    try:
        await _send(stream, request)
        received = await _receive_matching(stream, reader, matches, share)
    except CONNECTION_ERRORS:
        return ExchangeFailure.INTERRUPTED, False
    except EbonystreamError as error:
        if error.kind in OVERSIZE_KINDS:
            return ExchangeFailure.OVERSIZE, False
        return ExchangeFailure.INTERRUPTED, False
    if received is None:
        return ExchangeFailure.INTERRUPTED, False
    message = received.message
    in_step = received.unmatched_count == 0 and reader.is_drained()
    return message, message.keep_alive and in_step


async def _send(stream: trio.abc.Stream, request: EncodedMessage) -> None:
    if isinstance(request, SplitMessage):
        await stream.send_all(request.head)
        await stream.send_all(request.body)
    else:
        await stream.send_all(request)


async def _receive_matching(
    stream: trio.abc.Stream,
    reader: MessageReader,
    matches: ResponseMatcher,
    share: BufferShare,
) -> _MatchingResponse | None:
    for unmatched_count in range(MAX_UNMATCHED_RESPONSES):
        message = await _receive(stream, reader, share)
        if message is None:
            return None
        if matches(message.headers):
            return _MatchingResponse(message, unmatched_count)
        if not message.keep_alive:
            return None
    return None


async def _receive(
    stream: trio.abc.Stream, reader: MessageReader, share: BufferShare
) -> Message | None:
    """Receive one complete response.

    Returns:
        The response, or None if the server closed the connection early.
    """
    message = reader.next_message()
    while message is None:
        data = await stream.receive_some(RECEIVE_BYTES)
        if not data:
            return reader.finish()
        share.add(len(data))
        message = _feed(reader, bytes(data))
    return message


def _feed(reader: MessageReader, data: bytes) -> Message | None:
    """Feed the reader and return the response that is then complete, if any.

    Bytes after a complete response belong to no request: a parse error in
    them does not invalidate the response.
    """
    try:
        reader.feed(data)
    except EbonystreamError:
        message = reader.next_message()
        if message is None:
            raise
        return message
    return reader.next_message()


def _read_idle_timeout(headers: Headers) -> Seconds | None:
    """Return how long the connection may stay idle, if the server states it.

    The safety margin is already subtracted.
    """
    for name, value in headers:
        if name == KEEP_ALIVE_HEADER:
            return _parse_keep_alive_timeout(value)
    return None


def _parse_keep_alive_timeout(field: bytes) -> Seconds | None:
    for parameter in field.split(b','):
        key, _, value = parameter.strip().partition(b'=')
        digits = value.strip()
        if key.lower() == b'timeout' and digits.isdigit():
            timeout = int(digits[:MAX_KEEP_ALIVE_DIGITS])
            return Seconds(max(0, timeout - KEEP_ALIVE_MARGIN))
    return None
