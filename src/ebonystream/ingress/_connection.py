"""Serve the requests of one caller's connection until it closes."""

from contextlib import closing, suppress

import trio

from ebonystream._timers import Timers
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.http1 import RECEIVE_BYTES, Message, make_request_reader
from ebonystream.ingress._discarding import discard_input
from ebonystream.ingress._metering import (
    MeteredStream,
    meter_respond,
    open_meter,
)
from ebonystream.ingress._open_connections import OpenConnections
from ebonystream.ingress._pipeline import Pipeline
from ebonystream.ingress._response import EncodeError, Respond
from ebonystream.ingress._serving import DISCONNECT_ERRORS, serve_pipeline
from ebonystream.ingress._session import ConnectionLimits, Session

CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'


async def serve_connection(
    stream: trio.abc.Stream,
    *,
    respond: Respond,
    encode_error: EncodeError,
    limits: ConnectionLimits,
    timers: Timers,
    connections: OpenConnections,
) -> None:
    """Serve the requests of one connection until it closes.

    Responses are sent in the order of the requests. If too many connections
    are open, an idle or slow one is closed, or else this one. What it holds is
    counted in the memory budget of the connections.

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
            session = Session(
                stream=MeteredStream(stream, meter),
                meter=meter,
                reader=reader,
                limits=limits,
                timers=timers,
                connections=connections,
                respond=meter_respond(meter, respond),
            )
            async with stream:
                with closing(reader), suppress(*DISCONNECT_ERRORS):
                    await _serve_requests(session, encode_error)


async def _serve_requests(session: Session, encode_error: EncodeError) -> None:
    try:
        while await _wait_for_request(session):
            if not await _serve_next(session):
                return
    except EbonystreamError as error:
        session.reader.close()
        session.meter.observe_reader(session.reader)
        await session.stream.send_all(encode_error(error))
        await discard_input(session.stream, session.connections)


async def _serve_next(session: Session) -> bool:
    """Receive and serve a request, and those that follow at once."""
    pipeline = Pipeline(session.limits.may_overlap)
    if not await _receive_first(session, pipeline):
        return False
    return await serve_pipeline(session, pipeline)


async def _receive_first(session: Session, pipeline: Pipeline) -> bool:
    """Receive a request; return False if the caller disconnected.

    Only the pipeline refers to the request afterwards, and can free it.
    """
    message = await _receive(session)
    if message is None:
        return False
    pipeline.add(message, session.first_byte_at)
    return True


async def _wait_for_request(session: Session) -> bool:
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


async def _receive(session: Session) -> Message | None:
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


async def _receive_parts(session: Session) -> Message | None:
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
