"""Calls of this host that are in flight at each backend server."""

import attrs

from ebonystream._ids import Monotonic, ServerId
from ebonystream.call import Call


@attrs.frozen(eq=False)
class InFlightCall:
    """Call in flight.

    Attributes:
        call: The call that was sent.
        incarnation: Incarnation of the server when the call was sent, as far
            as known.
        sent_at: When it was sent.
        is_suspect: Whether it was sent as a suspect, so that it runs alone.
    """

    call: Call
    incarnation: str
    sent_at: Monotonic
    is_suspect: bool


@attrs.define
class InFlightCalls:
    """Calls in flight, by server.

    Attributes:
        by_server: The calls at each server, in the order in which they were
            sent; servers without calls have no entry.
    """

    by_server: dict[ServerId, list[InFlightCall]] = attrs.field(factory=dict)

    def add(self, server: ServerId, running: InFlightCall) -> None:
        """Add a call that is about to be sent.

        Args:
            server: The server that it is sent to.
            running: The call to add.
        """
        self.by_server.setdefault(server, []).append(running)

    def remove(self, server: ServerId, call: Call) -> InFlightCall | None:
        """Remove and return a call that has ended; None if it was not sent.

        Args:
            server: The server that it was meant for.
            call: The call that has ended.
        """
        calls = self.by_server.get(server, [])
        for running in calls:
            if running.call is call:
                calls.remove(running)
                self._remove_if_empty(server)
                return running
        return None

    def list_calls(self, server: ServerId) -> tuple[InFlightCall, ...]:
        """Return the calls in flight at a server."""
        return tuple(self.by_server.get(server, ()))

    def has_suspect(self, server: ServerId) -> bool:
        """Return whether a suspect is in flight at a server."""
        return any(running.is_suspect for running in self.list_calls(server))

    def _remove_if_empty(self, server: ServerId) -> None:
        if not self.by_server[server]:
            self.by_server.pop(server)
