"""Which hosts have wanted a starting server for long enough to sponsor it."""

import attrs

from ebonystream._ids import HostId, Monotonic, Seconds, ServerId
from ebonystream._timers import Timers

WANT_SETTLES = Seconds(0.5)
"""How long a host wants a server before it may take the usual sponsor's place.

Where calls reach all hosts, the usual sponsor wants the server too by then. A
move away and back would have it wait before its first call.
"""


@attrs.define
class Wanting:
    """Since when which hosts want which starting servers.

    Attributes:
        timers: Tells the time.
        since: When each host was first seen to want a server.
    """

    timers: Timers
    since: dict[ServerId, dict[HostId, Monotonic]] = attrs.field(factory=dict)

    def list_settled(
        self, server: ServerId, wanting: set[HostId]
    ) -> set[HostId]:
        """Give the hosts that have wanted a server for long enough.

        Args:
            server: The server.
            wanting: The hosts that want it now; the wants of others end.
        """
        now = self.timers.now()
        earlier = self.since.pop(server, {})
        if not wanting:
            return set()
        since = {host: earlier.get(host, now) for host in wanting}
        self.since[server] = since
        return {host for host, at in since.items() if now - at >= WANT_SETTLES}
