"""Serve the requests of one caller's connection until it closes."""

from contextlib import closing, suppress

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
from ebonystream.ingress._discarding import discard_input
from ebonystream.ingress._metering import (
    ConnectionMeter,
    MeteredStream,
    meter_respond,
    open_meter,
)
from ebonystream.ingress._open_connections import OpenConnections
from ebonystream.ingress._presence import CallerPresence
from ebonystream.ingress._response import (
    EncodedResponse,
    EncodeError,
    Respond,
)

CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'
DISCONNECT_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)
"""Errors that show that the peer has closed the connection."""


@attrs.frozen(kw_only=True)
class ConnectionLimits:
    """Size limits and timeouts of a caller's connection.

    Attributes:
        message: Size limits of a request.
        receive_timeout: Upper bound on receiving one request, in seconds.
        idle_timeout: How long a connection may wait for a request, in seconds.
    """

    message: ReaderLimits
    receive_timeout: Seconds
    idle_timeout: Seconds


@attrs.define(kw_only=True)
class _Session:
    stream: MeteredStream
    meter: ConnectionMeter
    reader: MessageReader
    limits: ConnectionLimits
    timers: Timers
    connections: OpenConnections
    first_byte_at: Monotonic = Monotonic(0)


async def serve_connection(
    stream: trio.abc.Stream,
    *,
    respond: Respond,
    encode_error: EncodeError,
    limits: ConnectionLimits,
    timers: Timers,
    connections: OpenConnections,
) -> None:
    """Serve the requests of one connection in order until it closes.

    If too many are open, an idle or slow one is closed, or else this one. What
    it holds is counted in the memory budget of the connections.

    Args:
        stream: The accepted connection.
        respond: Handles a request and returns the encoded response.
        encode_error: Encodes the response to invalid input.
        limits: Size limits and timeouts of the connection.
        timers: Clock that arrival times are read from.
        connections: Open connections of this listener; its flags end the
            serving during shutdown.
    """
    if not connections.make_room(timers.now()):
        await trio.aclose_forcefully(stream)
        return
    with connections.track(), trio.CancelScope() as scope:
        with open_meter(stream, connections.budget, scope, timers) as meter:
            reader = make_request_reader(limits.message)
            reader.meter = meter.observe_reader
            session = _Session(
                stream=MeteredStream(stream, meter),
                meter=meter,
                reader=reader,
                limits=limits,
                timers=timers,
                connections=connections,
            )
            async with stream:
                with closing(reader), suppress(*DISCONNECT_ERRORS):
                    await _serve_requests(
                        session, meter_respond(meter, respond), encode_error
                    )


async def _serve_requests(
    session: _Session, respond: Respond, encode_error: EncodeError
) -> None:
    try:
        while await _wait_for_request(session):
            if not await _serve_next(session, respond):
                return
    except EbonystreamError as error:
        session.reader.close()
        session.meter.observe_reader(session.reader)
        await session.stream.send_all(encode_error(error))
        await discard_input(session.stream, session.connections)


async def _serve_next(session: _Session, respond: Respond) -> bool:
    """Receive and serve one request, which is freed before the next."""
    message = await _receive(session)
    if message is None:
        return False
    return await _serve_request(session, message, respond)


async def _serve_request(
    session: _Session, message: Message, respond: Respond
) -> bool:
    """Serve one request and return whether another may follow."""
    session.connections.active_requests += 1
    try:
        response = await _respond_while_watching(session, message, respond)
        await session.stream.send_all(response.content)
    finally:
        session.connections.active_requests -= 1
    return not response.close


async def _respond_while_watching(
    session: _Session, message: Message, respond: Respond
) -> EncodedResponse:
    """Handle a request while watching for the caller's disconnect."""
    presence = CallerPresence()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_for_disconnect, session, presence)
        response = await respond(message, session.first_byte_at, presence)
        nursery.cancel_scope.cancel()
    return response


async def _watch_for_disconnect(
    session: _Session, presence: CallerPresence
) -> None:
    """Report the caller's disconnect; stop if it sends its next request."""
    try:
        data = await session.stream.receive_some(RECEIVE_BYTES)
    except trio.BrokenResourceError:
        data = b''
    if not data:
        presence.mark_disconnected()
        return
    try:
        session.reader.feed(bytes(data))
    except EbonystreamError:
        # The reader keeps the error and raises it in `_wait_for_request`.
        return


async def _wait_for_request(session: _Session) -> bool:
    """Wait for the first byte of a request; return whether it arrived."""
    session.reader.raise_for_error()
    session.first_byte_at = session.timers.now()
    if session.reader.has_pending():
        return True
    if session.connections.close_when_idle:
        return False
    with trio.move_on_after(session.limits.idle_timeout) as scope:
        session.connections.idle_scopes.add(scope)
        try:
            data = await session.stream.receive_some(RECEIVE_BYTES)
        finally:
            session.connections.idle_scopes.discard(scope)
        session.first_byte_at = session.timers.now()
        session.reader.feed(bytes(data))
        return bool(data)
    return False


async def _receive(session: _Session) -> Message | None:
    """Receive one complete request, or None if the caller disconnected."""
    message = session.reader.next_message()
    if message is not None:
        return message
    session.connections.receiving_count += 1
    try:
        with trio.move_on_after(session.limits.receive_timeout) as scope:
            with session.meter.receive(scope):
                return await _receive_parts(session)
    finally:
        session.connections.receiving_count -= 1
    raise EbonystreamError(ErrorKind.SLOW_SENDER)


async def _receive_parts(session: _Session) -> Message | None:
    continue_sent = False
    message: Message | None = None
    while message is None:
        if session.reader.expects_continue() and not continue_sent:
            await session.stream.send_all(CONTINUE_RESPONSE)
            continue_sent = True
        data = await session.stream.receive_some(RECEIVE_BYTES)
        if not data:
            return None
        session.reader.feed(bytes(data))
        message = session.reader.next_message()
    return message
