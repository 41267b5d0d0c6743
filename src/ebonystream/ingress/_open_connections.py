"""The connections that are open, and how a leaving host closes them."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import trio

MAX_CONNECTIONS = 2000
"""Connections at the same time, where nothing else is said; about half of
the descriptors that a host has."""


@attrs.define
class OpenConnections:
    """Connections from callers.

    Attributes:
        limit: How many may be open at the same time.
        close_after_response: Whether each answer now closes its connection.
        close_when_idle: Whether no further request is waited for.
        open_count: Connections that are open now.
        active_requests: Requests that are being answered.
        idle_scopes: Connections on which no request has begun.
    """

    limit: int = MAX_CONNECTIONS
    close_after_response: bool = False
    close_when_idle: bool = False
    open_count: int = 0
    active_requests: int = 0
    idle_scopes: set[trio.CancelScope] = attrs.field(factory=set)

    def is_full(self) -> bool:
        """Tell whether no further connection may be opened."""
        return self.open_count >= self.limit

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count a connection as open while a block runs."""
        self.open_count += 1
        try:
            yield
        finally:
            self.open_count -= 1

    def close_idle(self) -> None:
        """Close each connection on which no request has begun."""
        self.close_when_idle = True
        for scope in list(self.idle_scopes):
            scope.cancel()
