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
        closing: Whether each answer now closes its connection.
        over: Whether no further request is waited for.
        open: Connections that are open now.
        serving: Requests that are being answered.
        idle: Connections on which no request has begun.
    """

    limit: int = MAX_CONNECTIONS
    closing: bool = False
    over: bool = False
    open: int = 0
    serving: int = 0
    idle: set[trio.CancelScope] = attrs.field(factory=set)

    def is_full(self) -> bool:
        """Tell whether no further connection may be opened."""
        return self.open >= self.limit

    @contextmanager
    def hold(self) -> Iterator[None]:
        """Count a connection as open while a block runs."""
        self.open += 1
        try:
            yield
        finally:
            self.open -= 1

    def close_idle(self) -> None:
        """Close each connection on which no request has begun."""
        self.over = True
        for scope in list(self.idle):
            scope.cancel()
