"""One exchange on a kept connection: a request out, its own answer in."""

import enum
from collections.abc import Awaitable, Callable

import trio

from ebonystream._address import ServerAddress
from ebonystream._calls import Headers
from ebonystream._ids import Seconds
from ebonystream.errors import EbonystreamError
from ebonystream.http1 import (
    RECEIVE_BYTES,
    Message,
    MessageReader,
    ReaderLimits,
    make_response_reader,
)
from ebonystream.link._pool import ConnectionPool

MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 16_777_216
RESPONSE_LIMITS = ReaderLimits(
    head_bytes=MAX_HEAD_BYTES, body_bytes=MAX_BODY_BYTES
)
MAX_UNMATCHED_RESPONSES = 4
"""Answers to other requests that are skipped on one connection."""

KEEP_ALIVE_HEADER = b'keep-alive'
KEEP_ALIVE_MARGIN = Seconds(1)
"""A connection is not used in the last second before its server closes it."""

EXCHANGE_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    EbonystreamError,
)


class ExchangeFailure(enum.Enum):
    """Why an exchange brought no answer."""

    UNREACHABLE = 'unreachable'
    """No connection came about; nothing was sent."""

    INTERRUPTED = 'cut'
    """The connection ended, or what came was no answer, after the send."""


ExchangeResult = Message | ExchangeFailure
"""A whole answer, or why there is none."""

ResponseMatcher = Callable[[Headers], bool]
"""Tells from its header fields whether an answer belongs to the request."""

Exchange = Callable[
    [ServerAddress, bytes, ResponseMatcher], Awaitable[ExchangeResult]
]
"""Sends the bytes of one request and gives its answer.

A cancel closes the connection, so that a late answer reaches nobody.
"""


def make_exchange(*, pool: ConnectionPool) -> Exchange:
    """Make the function that exchanges on the connections of a pool.

    Args:
        pool: Where connections come from and go back to.
    """

    async def exchange(
        at: ServerAddress, request: bytes, is_own: ResponseMatcher
    ) -> ExchangeResult:
        stream = await pool.acquire(at)
        if stream is None:
            return ExchangeFailure.UNREACHABLE
        reply: ExchangeResult = ExchangeFailure.INTERRUPTED
        usable = False
        try:
            reply, usable = await perform_exchange(stream, request, is_own)
        finally:
            if not usable:
                await trio.aclose_forcefully(stream)
        if isinstance(reply, Message) and usable:
            await pool.release(
                at, stream, idle_timeout=_read_idle(reply.headers)
            )
        return reply

    return exchange


async def perform_exchange(
    stream: trio.abc.Stream, request: bytes, is_own: ResponseMatcher
) -> tuple[ExchangeResult, bool]:
    """Send a request and wait for its answer.

    Args:
        stream: A connection on which nothing is outstanding.
        request: The bytes of the request.
        is_own: Tells its answer from others.

    Returns:
        The reply, and whether the connection can carry another request.
    """
    reader = make_response_reader(RESPONSE_LIMITS)
    try:
        await stream.send_all(request)
        message = await _receive_own(stream, reader, is_own)
    except EXCHANGE_ERRORS:
        return ExchangeFailure.INTERRUPTED, False
    if message is None:
        return ExchangeFailure.INTERRUPTED, False
    return message, message.keep_alive and reader.is_drained()


async def _receive_own(
    stream: trio.abc.Stream, reader: MessageReader, is_own: ResponseMatcher
) -> Message | None:
    for _ in range(MAX_UNMATCHED_RESPONSES):
        message = await _receive(stream, reader)
        if message is None:
            return None
        if is_own(message.headers):
            return message
        if not message.keep_alive:
            return None
    return None


async def _receive(
    stream: trio.abc.Stream, reader: MessageReader
) -> Message | None:
    """Read one whole answer; None where the server left before its end."""
    message = reader.next_message()
    while message is None:
        arrived = await stream.receive_some(RECEIVE_BYTES)
        if not arrived:
            return reader.finish()
        message = _feed(reader, bytes(arrived))
    return message


def _feed(reader: MessageReader, arrived: bytes) -> Message | None:
    """Take bytes; what follows a whole answer belongs to no request."""
    try:
        reader.feed(arrived)
    except EbonystreamError:
        message = reader.next_message()
        if message is None:
            raise
        return message
    return reader.next_message()


def _read_idle(headers: Headers) -> Seconds | None:
    """Read how long the server keeps an unused connection, if it says so."""
    for name, field in headers:
        if name == KEEP_ALIVE_HEADER:
            return _parse_timeout(field)
    return None


def _parse_timeout(field: bytes) -> Seconds | None:
    for part in field.split(b','):
        key, _, figure = part.strip().partition(b'=')
        if key.lower() == b'timeout' and figure.strip().isdigit():
            whole = int(figure.strip())
            return Seconds(max(0, whole - KEEP_ALIVE_MARGIN))
    return None
