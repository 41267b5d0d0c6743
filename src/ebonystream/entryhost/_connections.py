"""Connections whose errors end no other connection."""

from collections.abc import Awaitable, Callable

from ebonystream.entryhost._parts import HostParts


async def serve_logged(
    parts: HostParts, serve: Callable[[], Awaitable[None]]
) -> None:
    """Serve a connection; log an error rather than end other connections.

    Args:
        parts: The state of the host.
        serve: Serves the connection.
    """
    try:
        await serve()
    except Exception as error:
        parts.log_event('connection_failed', why=repr(error))
