"""Which cold servers this host may send a request to."""

from ebonystream._ids import HostId, Monotonic, Seconds, ZoneName
from ebonystream.entryhost._parts import HostParts
from ebonystream.placement import (
    COLD_WINDOW,
    ColdShares,
    MayReceive,
    compute_cold_requests,
)
from ebonystream.roster import KnownServer

SHARING_TIMEOUT = Seconds(20)
"""How long a silent host keeps its share, in seconds: it may be partitioned
from this host and send requests still."""

UPDATE_PERIOD = Seconds(0.2)
"""Period in which the hosts that share are determined anew, in seconds."""


def make_cold_gate(
    parts: HostParts, shares: ColdShares | None = None
) -> MayReceive:
    """Return the predicate that limits requests to cold servers.

    Each server's requests are shared among the hosts of its zone, or among all
    if there is none.

    Args:
        parts: The state of the host.
        shares: Shares of cold servers; new ones if left out.
    """
    if shares is None:
        shares = ColdShares(parts.settings.name)

    def may_receive(server: KnownServer) -> bool:
        now = parts.timers.now()
        if not server.is_cold(now):
            return True
        total = _count_all_requests(parts, server)
        if total is None:
            return True
        if now - shares.updated_at >= UPDATE_PERIOD:
            shares.update_hosts(_list_sharing_hosts(parts, now), now)
        sent = sum(now - at < COLD_WINDOW for at in server.recent_requests)
        return sent < shares.count_usable(server.entry, total, now)

    return may_receive


def _count_all_requests(parts: HostParts, server: KnownServer) -> int | None:
    """Count the requests in a second of all hosts; None if unlimited."""
    configuration = parts.orders.configuration
    if configuration is None:
        return None
    service = configuration.services.get(server.entry.service)
    if service is None or service.cold_rate <= 0:
        return None
    return compute_cold_requests(
        service.cold_rate, parts.settings.limits.cold_limits
    )


def _list_sharing_hosts(
    parts: HostParts, now: Monotonic
) -> dict[ZoneName, tuple[HostId, ...]]:
    """List the hosts that share, by zone, each in order."""
    by_zone: dict[ZoneName, list[HostId]] = {}
    for facts in parts.facts.list_alive(now, timeout=SHARING_TIMEOUT):
        if facts.settled and not facts.leaving:
            by_zone.setdefault(facts.zone, []).append(facts.host)
    return {zone: tuple(sorted(hosts)) for zone, hosts in by_zone.items()}
