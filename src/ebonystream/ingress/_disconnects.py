"""Detection of a disconnect behind bytes that are left unread."""

import select

import trio

from ebonystream._ids import Seconds
from ebonystream._timers import Timers

CHECK_PERIOD = Seconds(0.25)


async def wait_for_disconnect(stream: trio.abc.Stream, timers: Timers) -> None:
    """Wait until the peer has closed a connection, without reading from it.

    The socket stays readable because of the unread bytes, so that it is checked
    periodically. On other connections than sockets, this never returns.

    Args:
        stream: The connection.
        timers: Clock of this process.
    """
    if not isinstance(stream, trio.SocketStream):
        await trio.sleep_forever()
        return
    async for _ in timers.subscribe(period=CHECK_PERIOD):
        if _is_closed(stream.socket.fileno()):
            return


def _is_closed(descriptor: int) -> bool:
    """Return whether the peer, or this process, has closed a socket."""
    if descriptor < 0:
        return True
    poll = select.poll()
    # Errors and a hang-up are reported without being asked for.
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))
