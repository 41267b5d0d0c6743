"""Track open connections and close idle ones during shutdown."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import trio

MAX_CONNECTIONS = 2000
"""Default for concurrent connections; about half of the file descriptors that
a host has."""


@attrs.define
class OpenConnections:
    """Open connections from callers.

    Attributes:
        limit: Maximum number of concurrent connections.
        closing: Whether each connection closes after its next
            response.
        over: Whether a connection closes instead of waiting for
            another request.
        open: Number of open connections.
        serving: Number of requests being served.
        idle: Cancel scopes of the connections that wait for a request.
    """

    limit: int = MAX_CONNECTIONS
    closing: bool = False
    over: bool = False
    open: int = 0
    serving: int = 0
    idle: set[trio.CancelScope] = attrs.field(factory=set)

    def is_full(self) -> bool:
        """Return whether the maximum number of connections is open."""
        return self.open >= self.limit

    @contextmanager
    def hold(self) -> Iterator[None]:
        """Count a connection as open for the duration of the block."""
        self.open += 1
        try:
            yield
        finally:
            self.open -= 1

    def close_idle(self) -> None:
        """Close idle connections, now and whenever one becomes idle."""
        self.over = True
        for scope in list(self.idle):
            scope.cancel()
