"""Receiving from a ZeroMQ socket on trio, without a thread and without polling.

The file descriptor of a ZeroMQ socket is edge-triggered, and any operation on
the socket may consume the event. A receive is therefore always tried first, and
the descriptor is waited for only if no message was there.
"""

import trio
import zmq


async def receive_parts(socket: zmq.Socket[bytes]) -> list[bytes]:
    """Wait for the next message of a socket, and return its parts.

    A message that is already there is returned without a checkpoint. Each
    checkpoint costs a turn of the event loop, so the caller makes one after
    several messages.

    Args:
        socket: Socket to receive from; no other task may wait for it.
    """
    while True:
        try:
            return socket.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            await trio.lowlevel.wait_readable(socket.FD)
