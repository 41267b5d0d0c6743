"""Which starting servers this host has calls for."""

import attrs

from ebonystream._ids import Monotonic, Seconds, ServerId
from ebonystream._timers import Timers
from ebonystream.backend._directory import Directory
from ebonystream.backend._dispatch import Place
from ebonystream.backend._server import BackendServer
from ebonystream.call import Call

WANT_LENGTH = Seconds(5)
"""How long after its last call for a server a host still wants it."""


@attrs.define
class Wants:
    """The starting servers that this host had calls for lately.

    The sponsor of a starting server is chosen among the hosts that have calls
    for it; a host without calls could never warm it.

    Attributes:
        timers: Tells the time.
        wanted_at: When the last call for each server was there.
    """

    timers: Timers
    wanted_at: dict[ServerId, Monotonic] = attrs.field(factory=dict)

    def note(self, server: ServerId) -> None:
        """Note that this host has a call for a server."""
        self.wanted_at[server] = self.timers.now()

    def has(self, server: ServerId) -> bool:
        """Tell whether this host had a call for a server lately."""
        wanted_at = self.wanted_at.get(server)
        if wanted_at is None:
            return False
        return self.timers.now() - wanted_at < WANT_LENGTH

    def list_wanted(self) -> tuple[ServerId, ...]:
        """Give the servers that this host had calls for, and forget others."""
        self.wanted_at = {
            server: at
            for server, at in self.wanted_at.items()
            if self.has(server)
        }
        return tuple(self.wanted_at)


def note_wants(place: Place, directory: Directory, wants: Wants) -> Place:
    """Note the starting servers that each call could use, before it waits.

    The sponsor of a starting server is chosen among the hosts that have calls
    for it, and a call may wait at a host that holds none of its slots.

    Args:
        place: Finds a server with room.
        directory: The servers that are known.
        wants: Where they are noted.
    """

    async def place_noted(call: Call, tried: set[ServerId]) -> BackendServer:
        for server in directory.list_service(call.service):
            if server.warmth.is_starting:
                wants.note(server.id)
        return await place(call, tried)

    return place_noted
