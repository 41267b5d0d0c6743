"""Track open connections and close idle ones during shutdown."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import trio

from ebonystream._ids import Monotonic
from ebonystream.ingress._closings import CloseReason
from ebonystream.ingress._memory_budget import MemoryBudget

MAX_CONNECTIONS = 2000
"""Default limit on concurrent connections; about half of the file descriptors
that a host has."""

MAX_CLOSING = 16
"""Connections above the limit while others, which make room, are closing."""


@attrs.define
class OpenConnections:
    """Open connections from callers.

    Attributes:
        limit: Maximum number of concurrent connections.
        close_after_response: Whether each connection closes after its next
            response.
        close_when_idle: Whether a connection closes instead of waiting for
            another request.
        open_count: Number of open connections.
        active_requests: Number of requests being served.
        receiving_count: Number of requests being received.
        idle_scopes: Cancel scopes of the connections that wait for a request.
        lingering_scopes: Cancel scopes of the connections that discard input
            after a refusal.
        budget: Bytes that are held for the callers.
    """

    limit: int = MAX_CONNECTIONS
    close_after_response: bool = False
    close_when_idle: bool = False
    open_count: int = 0
    active_requests: int = 0
    receiving_count: int = 0
    idle_scopes: set[trio.CancelScope] = attrs.field(factory=set)
    lingering_scopes: set[trio.CancelScope] = attrs.field(factory=set)
    budget: MemoryBudget = attrs.field(factory=MemoryBudget)

    def is_full(self) -> bool:
        """Return whether the maximum number of connections is open."""
        return self.open_count >= self.limit

    def make_room(self, now: Monotonic) -> bool:
        """Return whether another connection may open.

        If the maximum number is open, one that was refused is closed for it,
        else the one that has been idle for longest, else the slowest.

        Args:
            now: Current time on the monotonic clock, in seconds.
        """
        if not self.is_full():
            return True
        if self.open_count <= self.limit + MAX_CLOSING:
            if self._close_one_unused() or self.budget.close_slowest(now):
                return True
        self.budget.closings.record(CloseReason.TOO_MANY, 0)
        return False

    def has_requests(self) -> bool:
        """Return whether a request is being received or served."""
        return self.active_requests > 0 or self.receiving_count > 0

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count a connection as open for the duration of the block."""
        self.open_count += 1
        try:
            yield
        finally:
            self.open_count -= 1

    def close_idle(self) -> None:
        """Close idle connections, now and whenever one becomes idle."""
        self.close_when_idle = True
        for scope in list(self.idle_scopes):
            scope.cancel()

    def _close_one_unused(self) -> bool:
        for scopes in (self.lingering_scopes, self.idle_scopes):
            unused = [scope for scope in scopes if not scope.cancel_called]
            if unused:
                # All have the same timeout, so this one began first.
                min(unused, key=_get_deadline).cancel()
                self.budget.closings.record(CloseReason.TOO_MANY, 0)
                return True
        return False


def _get_deadline(scope: trio.CancelScope) -> float:
    return scope.deadline
