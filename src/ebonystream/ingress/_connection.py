"""One connection of a caller, from its first request to its close."""

from collections.abc import Awaitable, Callable
from contextlib import suppress

import attrs
import trio

from ebonystream._ids import Monotonic, Seconds
from ebonystream._timers import Timers
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.http1 import (
    RECEIVE_BYTES,
    Message,
    MessageReader,
    ReaderLimits,
    make_request_reader,
)
from ebonystream.ingress._open_connections import OpenConnections
from ebonystream.ingress._presence import CallerPresence

CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'
DISCONNECT_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)
"""How a connection ends whose sender is gone."""

LINGER_TIMEOUT = Seconds(1)
"""How long what a refused sender still sends is taken in, so that closing
doesn't take the refusal away from it."""


@attrs.frozen
class EncodedResponse:
    """An answer as it goes out.

    Attributes:
        content: All its bytes.
        close: Whether the connection closes after it.
    """

    content: bytes
    close: bool


Respond = Callable[
    [Message, Monotonic, CallerPresence], Awaitable[EncodedResponse]
]
"""Answers one request, whose first byte came at a time."""

EncodeError = Callable[[EbonystreamError], bytes]
"""Spells the answer to what is no request; the connection then closes."""


@attrs.frozen(kw_only=True)
class ConnectionLimits:
    """What may be sent on a connection, and how slowly.

    Attributes:
        message: The longest request.
        receive_timeout: How long one request may take to arrive, in seconds.
        idle_timeout: How long a connection may stay without a request, in seconds.
    """

    message: ReaderLimits
    receive_timeout: Seconds
    idle_timeout: Seconds


@attrs.define(kw_only=True)
class _Conversation:
    stream: trio.abc.Stream
    reader: MessageReader
    limits: ConnectionLimits
    timers: Timers
    connections: OpenConnections
    arrived: Monotonic = Monotonic(0)


async def serve_connection(
    stream: trio.abc.Stream,
    *,
    respond: Respond,
    encode_error: EncodeError,
    limits: ConnectionLimits,
    timers: Timers,
    connections: OpenConnections,
) -> None:
    """Answer one caller's requests, one after another, until it leaves.

    The connection is closed at once where too many are open.

    Args:
        stream: The connection.
        respond: Answers a request.
        encode_error: Spells the answer to what is no request.
        limits: What may be sent.
        timers: Tells the time.
        connections: The open ones; tells when this host leaves.
    """
    if connections.is_full():
        await trio.aclose_forcefully(stream)
        return
    talk = _Conversation(
        stream=stream,
        reader=make_request_reader(limits.message),
        limits=limits,
        timers=timers,
        connections=connections,
    )
    async with stream:
        with connections.track(), suppress(*DISCONNECT_ERRORS):
            await _converse(talk, respond, encode_error)


async def _converse(
    talk: _Conversation, respond: Respond, refuse: EncodeError
) -> None:
    try:
        while await _wait_for_request(talk):
            message = await _receive(talk)
            if message is None:
                return
            if not await _answer(talk, message, respond):
                return
    except EbonystreamError as error:
        await talk.stream.send_all(refuse(error))
        await _linger(talk.stream)


async def _answer(
    talk: _Conversation, message: Message, respond: Respond
) -> bool:
    """Answer one request; tell whether another may come."""
    talk.connections.active_requests += 1
    try:
        spoken = await _respond_watched(talk, message, respond)
        await talk.stream.send_all(spoken.content)
    finally:
        talk.connections.active_requests -= 1
    return not spoken.close


async def _respond_watched(
    talk: _Conversation, message: Message, respond: Respond
) -> EncodedResponse:
    """Answer a request beside a watch on its sender."""
    presence = CallerPresence()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_sender, talk, presence)
        spoken = await respond(message, talk.arrived, presence)
        nursery.cancel_scope.cancel()
    return spoken


async def _watch_sender(talk: _Conversation, presence: CallerPresence) -> None:
    """Tell when the sender leaves; stop where it sends its next request."""
    try:
        arrived = await talk.stream.receive_some(RECEIVE_BYTES)
    except trio.BrokenResourceError:
        arrived = b''
    if not arrived:
        presence.mark_disconnected()
        return
    try:
        talk.reader.feed(bytes(arrived))
    except EbonystreamError:
        # The reader keeps the fault; the next request's turn answers it.
        return


async def _wait_for_request(talk: _Conversation) -> bool:
    """Wait for the first byte of a request; False where none comes."""
    talk.reader.raise_for_error()
    talk.arrived = talk.timers.now()
    if talk.reader.has_pending():
        return True
    if talk.connections.close_when_idle:
        return False
    with trio.move_on_after(talk.limits.idle_timeout) as scope:
        talk.connections.idle_scopes.add(scope)
        try:
            arrived = await talk.stream.receive_some(RECEIVE_BYTES)
        finally:
            talk.connections.idle_scopes.discard(scope)
        talk.arrived = talk.timers.now()
        talk.reader.feed(bytes(arrived))
        return bool(arrived)
    return False


async def _receive(talk: _Conversation) -> Message | None:
    """Take in one whole request; None where the caller left."""
    message = talk.reader.next_message()
    if message is not None:
        return message
    with trio.move_on_after(talk.limits.receive_timeout):
        return await _receive_parts(talk)
    raise EbonystreamError(ErrorKind.SLOW_SENDER)


async def _receive_parts(talk: _Conversation) -> Message | None:
    told_to_go_on = False
    message: Message | None = None
    while message is None:
        if talk.reader.expects_continue() and not told_to_go_on:
            await talk.stream.send_all(CONTINUE_RESPONSE)
            told_to_go_on = True
        arrived = await talk.stream.receive_some(RECEIVE_BYTES)
        if not arrived:
            return None
        talk.reader.feed(bytes(arrived))
        message = talk.reader.next_message()
    return message


async def _linger(stream: trio.abc.Stream) -> None:
    if isinstance(stream, trio.SocketStream):
        await stream.send_eof()
    with trio.move_on_after(LINGER_TIMEOUT):
        while await stream.receive_some(RECEIVE_BYTES):
            await trio.lowlevel.checkpoint()
