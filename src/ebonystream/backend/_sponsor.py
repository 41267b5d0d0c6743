"""Sponsorship: the one entry host that sends calls to a starting server."""

from collections.abc import Callable, Iterable

import attrs

from ebonystream._ids import Monotonic, Seconds, ServerId
from ebonystream._timers import Timers
from ebonystream.backend._server import BackendServer

HANDOVER = Seconds(2)
"""How long a new sponsor waits before its first call.

Longer than entry hosts disagree on who the sponsor is: one reading of the host
list, and the time that the reading takes.
"""

IsSponsor = Callable[[ServerId], bool]
"""Tells whether this host is a server's sponsor by its present view."""


@attrs.define
class Sponsorship:
    """Since when this host is the sponsor of which servers.

    Attributes:
        is_sponsor: Tells the present view.
        is_alone: Tells whether no other entry host is listed, so that there
            is no earlier sponsor to wait for.
        timers: Tells the time.
        since: When this host became the sponsor of each server.
    """

    is_sponsor: IsSponsor
    is_alone: Callable[[], bool]
    timers: Timers
    since: dict[ServerId, Monotonic] = attrs.field(factory=dict)

    def refresh(self, servers: Iterable[BackendServer]) -> None:
        """Compare the view with what was held, after each change of it.

        Args:
            servers: Every server that is known.
        """
        now = self.timers.now()
        self.since = {
            server.id: self.since.get(server.id, now)
            for server in servers
            if self.is_sponsor(server.id)
        }

    def is_held(self, server: BackendServer) -> bool:
        """Tell whether this host is the sponsor and its wait is over."""
        if not self.is_sponsor(server.id):
            self.since.pop(server.id, None)
            return False
        since = self.since.setdefault(server.id, self.timers.now())
        return self.is_alone() or self.timers.now() - since >= HANDOVER
