"""The connections that are open, and how a leaving host closes them."""

import attrs
import trio


@attrs.define
class OpenConnections:
    """Connections from callers.

    Attributes:
        closing: Whether each answer now closes its connection.
        over: Whether no further request is waited for.
        serving: Requests that are being answered.
        idle: Connections on which no request has begun.
    """

    closing: bool = False
    over: bool = False
    serving: int = 0
    idle: set[trio.CancelScope] = attrs.field(factory=set)

    def close_idle(self) -> None:
        """Close each connection on which no request has begun."""
        self.over = True
        for scope in list(self.idle):
            scope.cancel()
