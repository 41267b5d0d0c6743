"""The shares of cold servers that one host has, while hosts come and go."""

from collections.abc import Mapping
from itertools import chain

import attrs

from ebonystream._ids import HostId, Monotonic, Seconds, ServerId, ZoneName
from ebonystream.placement._cold_requests import list_own_cold_requests
from ebonystream.roster import ServerEntry

COLD_WINDOW = Seconds(1.05)
"""Time in which a cold server gets the requests of one second, in seconds. It
is longer than that, as requests take differently long to arrive."""

MAX_SHARES = 2000
"""Maximum number of servers whose shares are kept."""


@attrs.frozen
class _Share:
    """This host's share of the requests of one server.

    Attributes:
        hosts: The hosts that share the server.
        usable_from: When this host may first send each of its requests of a
            second, by number.
    """

    hosts: tuple[HostId, ...]
    usable_from: Mapping[int, Monotonic]

    def count_usable(self, now: Monotonic) -> int:
        """Count the requests in a second that this host may send."""
        return sum(now >= start for start in self.usable_from.values())


@attrs.define
class ColdShares:
    """This host's shares of cold servers.

    Attributes:
        local_host: Name of this host.
        updated_at: When the hosts were last set.
        hosts: The hosts that share, by availability zone.
        by_server: The shares by server and requests of all hosts.
    """

    local_host: HostId
    updated_at: Monotonic = Monotonic(float('-inf'))
    hosts: Mapping[ZoneName, tuple[HostId, ...]] = attrs.field(factory=dict)
    by_server: dict[tuple[ServerId, int], _Share] = attrs.field(factory=dict)

    def update_hosts(
        self, hosts: Mapping[ZoneName, tuple[HostId, ...]], now: Monotonic
    ) -> None:
        """Replace the hosts that share.

        Args:
            hosts: The hosts by availability zone, each in order.
            now: Current time on the monotonic clock, in seconds.
        """
        self.hosts = hosts
        self.updated_at = now

    def count_usable(
        self, entry: ServerEntry, total: int, now: Monotonic
    ) -> int:
        """Count the requests in a second that this host may send to a server.

        A request that it gains as hosts come and go may be sent once the host
        that had it before can have sent nothing in the same second.

        Args:
            entry: Entry of the server.
            total: Requests in a second of all hosts.
            now: Current time on the monotonic clock, in seconds.
        """
        hosts = self._list_hosts(entry.zone)
        share = self.by_server.get((entry.id, total))
        if share is None or share.hosts != hosts:
            known = share.usable_from if share else {}
            gained_from = Monotonic(now + COLD_WINDOW) if share else now
            numbers = list_own_cold_requests(
                entry.id, hosts, self.local_host, total=total
            )
            share = _Share(
                hosts,
                {number: known.get(number, gained_from) for number in numbers},
            )
            self.by_server[entry.id, total] = share
            while len(self.by_server) > MAX_SHARES:
                self.by_server.pop(next(iter(self.by_server)))
        return share.count_usable(now)

    def _list_hosts(self, zone: ZoneName) -> tuple[HostId, ...]:
        """List the hosts that share a server: of its zone, or else all."""
        everywhere = chain.from_iterable(self.hosts.values())
        return self.hosts.get(zone) or tuple(everywhere)
