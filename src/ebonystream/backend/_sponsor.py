"""Sponsorship: a single entry host sends calls to each starting server."""

from collections.abc import Callable, Iterable

import attrs

from ebonystream._ids import Monotonic, Seconds, ServerId
from ebonystream._timers import Timers
from ebonystream.backend._server import BackendServer

HANDOVER_WAIT = Seconds(2)
"""How long a new sponsor waits before its first call.

This is longer than entry hosts can disagree on the sponsor, which is one period
of reading the host list and the time that a read takes.
"""

IsSponsor = Callable[[ServerId], bool]
"""Returns whether this host is the sponsor of a server, as far as it knows."""


@attrs.define
class Sponsorship:
    """The servers that this host is the sponsor of, and since when.

    Attributes:
        is_sponsor: Returns whether this host is the sponsor of a server.
        is_alone: Returns whether no other entry host is listed, so that there
            is no previous sponsor to wait for.
        timers: Source of the current time.
        since: When this host became the sponsor, by server.
    """

    is_sponsor: IsSponsor
    is_alone: Callable[[], bool]
    timers: Timers
    since: dict[ServerId, Monotonic] = attrs.field(factory=dict)

    def refresh(self, servers: Iterable[BackendServer]) -> None:
        """Update the sponsorships after any change of the known hosts.

        Args:
            servers: All known servers.
        """
        now = self.timers.now()
        self.since = {
            server.id: self.since.get(server.id, now)
            for server in servers
            if self.is_sponsor(server.id)
        }

    def is_active(self, server: BackendServer) -> bool:
        """Return whether this host is the sponsor and its wait is over."""
        if not self.is_sponsor(server.id):
            self.since.pop(server.id, None)
            return False
        since = self.since.setdefault(server.id, self.timers.now())
        return self.is_alone() or self.timers.now() - since >= HANDOVER_WAIT
