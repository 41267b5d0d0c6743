"""Track whether a caller is still connected."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import trio


@attrs.define
class CallerPresence:
    """Whether the caller of a request still waits for the response.

    Attributes:
        disconnected: Whether the caller has disconnected.
        has_followers: Whether later requests of the connection are being
            served; it must then stay open after this one.
    """

    disconnected: bool = False
    has_followers: bool = False
    _scopes: list[trio.CancelScope] = attrs.field(factory=list)

    def mark_disconnected(self) -> None:
        """Record the disconnect and cancel the interruptible blocks."""
        self.disconnected = True
        for scope in self._scopes:
            scope.cancel()

    @contextmanager
    def cancel_on_disconnect(self) -> Iterator[trio.CancelScope]:
        """Cancel the block when the caller disconnects."""
        with trio.CancelScope() as scope:
            self._scopes.append(scope)
            if self.disconnected:
                scope.cancel()
            try:
                yield scope
            finally:
                self._scopes.remove(scope)
