"""Whether a caller still waits for its answer."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import trio


@attrs.define
class CallerPresence:
    """A caller that waits for an answer, until it leaves.

    Attributes:
        disconnected: Whether it has left.
    """

    disconnected: bool = False
    _scopes: list[trio.CancelScope] = attrs.field(factory=list)

    def mark_disconnected(self) -> None:
        """Note that the caller has left, and end what may be ended."""
        self.disconnected = True
        for scope in self._scopes:
            scope.cancel()

    @contextmanager
    def cancel_on_disconnect(self) -> Iterator[trio.CancelScope]:
        """Run a block that ends when the caller leaves."""
        with trio.CancelScope() as scope:
            self._scopes.append(scope)
            if self.disconnected:
                scope.cancel()
            try:
                yield scope
            finally:
                self._scopes.remove(scope)
