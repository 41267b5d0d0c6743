"""Receiving from a ZeroMQ socket on trio, without a thread and without polling.

The file descriptor of a ZeroMQ socket is edge-triggered: it tells that
something happened, and any operation may use that up. So a receive is always
tried first, and the descriptor is waited for only after it found nothing.
"""

import trio
import zmq


async def receive_parts(socket: zmq.Socket[bytes]) -> list[bytes]:
    """Wait for the next message of a socket, as its parts.

    What is there already is given without a checkpoint: the receiver makes
    one after several messages, since each costs a turn of the event loop.

    Args:
        socket: Any socket that receives; nobody else waits for it.
    """
    while True:
        try:
            return socket.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            await trio.lowlevel.wait_readable(socket.FD)
