"""Input that is read and discarded after a refusal."""

import trio

from ebonystream._ids import Seconds
from ebonystream.http1 import RECEIVE_BYTES
from ebonystream.ingress._metering import MeteredStream
from ebonystream.ingress._open_connections import OpenConnections

LINGER_TIMEOUT = Seconds(1)
"""How long input is still read and discarded after a refusal. Closing at once
would reset the connection, and the sender might lose the refusal."""

DISCARD_BYTES = 8_388_608
"""Largest number of bytes that are read and discarded after a refusal."""


async def discard_input(
    stream: MeteredStream, connections: OpenConnections
) -> None:
    """Close the sending side; discard some input for a limited time.

    Args:
        stream: The connection.
        connections: The open connections; it may have to give way to others.
    """
    await stream.send_eof()
    with trio.move_on_after(LINGER_TIMEOUT) as scope:
        connections.lingering_scopes.add(scope)
        try:
            await _discard(stream)
        finally:
            connections.lingering_scopes.discard(scope)


async def _discard(stream: MeteredStream) -> None:
    discarded_bytes = 0
    while discarded_bytes < DISCARD_BYTES:
        data = await stream.receive_some(RECEIVE_BYTES)
        if not data:
            return
        discarded_bytes += len(data)
        await trio.lowlevel.checkpoint()
