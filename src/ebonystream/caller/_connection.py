"""Serve the calls of one caller's connection until it closes."""

from functools import partial

import attrs
import trio

from ebonystream._ids import Monotonic
from ebonystream._timers import Timers
from ebonystream.call import CallResponse, HandleRequest, make_error_response
from ebonystream.caller._message import decode_request, encode_call_response
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.http1 import Message
from ebonystream.ingress import (
    CallerPresence,
    ConnectionLimits,
    EncodedResponse,
    OpenConnections,
)
from ebonystream.ingress import serve_connection as serve_messages

MEMORY_RETRY_AFTER = (b'retry-after', b'1')
"""Advice after a refusal for memory, in seconds."""


async def serve_connection(
    stream: trio.abc.Stream,
    *,
    handle_request: HandleRequest,
    limits: ConnectionLimits,
    timers: Timers,
    connections: OpenConnections,
) -> None:
    """Serve the calls of one connection in order until it closes.

    Args:
        stream: The accepted connection.
        handle_request: Handles a request.
        limits: Size limits and timeouts of the connection.
        timers: Clock for arrival times and for the time in responses.
        connections: Open connections of this listener; tells when to stop
            serving during shutdown.
    """

    async def respond(
        message: Message, arrived_at: Monotonic, presence: CallerPresence
    ) -> EncodedResponse:
        request = decode_request(message, timers.now())
        response = await handle_request(request)
        close = connections.close_after_response or not message.keep_alive
        return EncodedResponse(_encode(timers, response, close=close), close)

    await serve_messages(
        stream,
        respond=respond,
        encode_error=partial(_encode_error, timers),
        limits=limits,
        timers=timers,
        connections=connections,
    )


def _encode_error(timers: Timers, error: EbonystreamError) -> bytes:
    response = make_error_response(error)
    if error.kind is ErrorKind.MEMORY_SHORT:
        response = attrs.evolve(
            response, headers=(*response.headers, MEMORY_RETRY_AFTER)
        )
    return _encode(timers, response, close=True)


def _encode(timers: Timers, response: CallResponse, *, close: bool) -> bytes:
    return encode_call_response(
        response, wall_time_ms=timers.wall_ms(), close=close
    )
