"""A listener: one task for each connection."""

from collections.abc import Awaitable, Callable

import trio

from ebonystream._address import ServerAddress

BACKLOG = 1024
"""Connections that wait to be accepted."""

HandleConnection = Callable[[trio.SocketStream], Awaitable[None]]
"""Serves one connection."""


async def serve_listener(
    at: ServerAddress,
    handle: HandleConnection,
    *,
    connection_nursery: trio.Nursery,
    task_status: trio.TaskStatus[trio.CancelScope] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept connections until the scope that is told is cancelled.

    Args:
        at: Where to listen.
        handle: Serves one connection.
        connection_nursery: Where accepted connections go on, also afterwards.
        task_status: Is told the scope once connections are accepted.
    """
    listeners = await trio.open_tcp_listeners(
        at.port, host=at.address, backlog=BACKLOG
    )
    with trio.CancelScope() as scope:
        task_status.started(scope)
        await trio.serve_listeners(
            handle, listeners, handler_nursery=connection_nursery
        )
