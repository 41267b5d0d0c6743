"""The calls that this host has in flight at each backend server."""

import attrs

from ebonystream._ids import Monotonic, ServerId
from ebonystream.call import Call


@attrs.frozen(eq=False)
class RunningCall:
    """One call in flight.

    Attributes:
        call: The call.
        run: The run of the server that it was sent to, as far as known.
        began: When it was sent.
        as_suspect: Whether it runs alone, as a suspect.
    """

    call: Call
    run: str
    began: Monotonic
    as_suspect: bool


@attrs.define
class RunningCalls:
    """The calls in flight, by server.

    Attributes:
        by_server: The calls at each server that has any.
    """

    by_server: dict[ServerId, list[RunningCall]] = attrs.field(factory=dict)

    def begin(self, server: ServerId, running: RunningCall) -> None:
        """Take a call in that is sent now.

        Args:
            server: Where it is sent.
            running: The call.
        """
        self.by_server.setdefault(server, []).append(running)

    def end(self, server: ServerId, call: Call) -> RunningCall | None:
        """Give and forget a call that has ended, if it was sent at all.

        Args:
            server: Where it was.
            call: The call.
        """
        beside = self.by_server.get(server, [])
        for running in beside:
            if running.call is call:
                beside.remove(running)
                self._tidy(server)
                return running
        return None

    def list_at(self, server: ServerId) -> tuple[RunningCall, ...]:
        """Give the calls in flight at a server."""
        return tuple(self.by_server.get(server, ()))

    def is_isolated(self, server: ServerId) -> bool:
        """Tell whether a suspect runs at a server."""
        return any(one.as_suspect for one in self.list_at(server))

    def _tidy(self, server: ServerId) -> None:
        if not self.by_server[server]:
            self.by_server.pop(server)
