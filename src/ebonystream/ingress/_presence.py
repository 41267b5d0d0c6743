"""Track whether a caller is still connected."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import trio


@attrs.define
class Presence:
    """Whether the caller of a request still waits for the response.

    Attributes:
        gone: Whether the caller has disconnected.
    """

    gone: bool = False
    _scopes: list[trio.CancelScope] = attrs.field(factory=list)

    def leave(self) -> None:
        """Record the disconnect and cancel the interruptible blocks."""
        self.gone = True
        for scope in self._scopes:
            scope.cancel()

    @contextmanager
    def interruptible(self) -> Iterator[trio.CancelScope]:
        """Cancel the block when the caller disconnects."""
        with trio.CancelScope() as scope:
            self._scopes.append(scope)
            if self.gone:
                scope.cancel()
            try:
                yield scope
            finally:
                self._scopes.remove(scope)
