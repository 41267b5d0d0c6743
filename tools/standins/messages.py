"""Serves HTTP requests with the message parser of the product."""

import trio

from ebonystream._ids import Seconds
from ebonystream._timers import Timers
from ebonystream.errors import EbonystreamError
from ebonystream.http1 import ReaderLimits, encode_response
from ebonystream.ingress import (
    ConnectionLimits,
    OpenConnections,
    Respond,
    serve_connection,
)

LIMITS = ConnectionLimits(
    message=ReaderLimits(head_bytes=16_384, body_bytes=67_108_864),
    receive_timeout=Seconds(5),
    idle_timeout=Seconds(60),
)


async def serve_messages(stream: trio.SocketStream, respond: Respond) -> None:
    """Serve the requests of one connection until it closes.

    Args:
        stream: The connection.
        respond: Handles a request and returns the encoded response.
    """
    await serve_connection(
        stream,
        respond=respond,
        encode_error=_encode_error,
        limits=LIMITS,
        timers=Timers(epoch_offset=0),
        connections=OpenConnections(),
    )


def _encode_error(error: EbonystreamError) -> bytes:
    return encode_response(error.answer.status, (), b'')
