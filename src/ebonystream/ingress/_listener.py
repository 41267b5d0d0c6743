"""Accept connections and serve each in a task of its own."""

from collections.abc import Awaitable, Callable

import trio

from ebonystream._address import ServerAddress

BACKLOG = 1024
"""Maximum number of connections waiting to be accepted."""

HandleConnection = Callable[[trio.SocketStream], Awaitable[None]]
"""Serve one accepted connection."""


async def serve_listener(
    at: ServerAddress,
    handle: HandleConnection,
    *,
    connection_nursery: trio.Nursery,
    task_status: trio.TaskStatus[trio.CancelScope] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept connections until the reported cancel scope is cancelled.

    Args:
        at: Address and port to listen on.
        handle: Serves one accepted connection.
        connection_nursery: Nursery of the connection tasks, which outlive the
            listener.
        task_status: Receives the cancel scope once the listener accepts
            connections.
    """
    listeners = await trio.open_tcp_listeners(
        at.port, host=at.address, backlog=BACKLOG
    )
    with trio.CancelScope() as scope:
        task_status.started(scope)
        await trio.serve_listeners(
            handle, listeners, handler_nursery=connection_nursery
        )
