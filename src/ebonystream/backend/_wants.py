"""The starting servers that this host has calls for."""

import attrs

from ebonystream._ids import Monotonic, Seconds, ServerId
from ebonystream._timers import Timers
from ebonystream.backend._directory import Directory
from ebonystream.backend._dispatch import Place
from ebonystream.backend._server import BackendServer
from ebonystream.call import Call

WANTED_WINDOW = Seconds(5)
"""How long a server counts as wanted after the last call for it."""


@attrs.define
class WantedServers:
    """The starting servers that this host recently had calls for.

    The sponsor of a starting server is selected among the hosts that have
    calls for it, because a host without calls could never warm it up.

    Attributes:
        timers: Source of the current time.
        wanted_at: When this host last had a call, by server.
    """

    timers: Timers
    wanted_at: dict[ServerId, Monotonic] = attrs.field(factory=dict)

    def record(self, server: ServerId) -> None:
        """Record that this host has a call for a server."""
        self.wanted_at[server] = self.timers.now()

    def is_wanted(self, server: ServerId) -> bool:
        """Return whether this host recently had a call for a server."""
        wanted_at = self.wanted_at.get(server)
        if wanted_at is None:
            return False
        return self.timers.now() - wanted_at < WANTED_WINDOW

    def list_wanted(self) -> tuple[ServerId, ...]:
        """Return the wanted servers and evict all others."""
        self.wanted_at = {
            server: at
            for server, at in self.wanted_at.items()
            if self.is_wanted(server)
        }
        return tuple(self.wanted_at)


def make_recording_place(
    place: Place, directory: Directory, wanted: WantedServers
) -> Place:
    """Make a placement function that also records wanted starting servers.

    All starting servers of the service are recorded before a call is placed.
    Their sponsors are selected among the hosts that have calls for them, and
    such a call may wait at a host that has none of their slots.

    Args:
        place: The placement function for the calls.
        directory: The known servers.
        wanted: Where the servers are recorded.
    """

    async def place_recorded(call: Call, tried: set[ServerId]) -> BackendServer:
        for server in directory.list_servers(call.service):
            if server.lifecycle.is_starting:
                wanted.record(server.id)
        return await place(call, tried)

    return place_recorded
