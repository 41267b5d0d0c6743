"""Selection of the host that another one fetches from."""

from collections.abc import Container

import trio

from ebonystream._ids import HostId, Monotonic, Seconds
from ebonystream.entryhost._lease import is_lease_short
from ebonystream.entryhost._parts import HostParts
from ebonystream.gossip import HostFacts

ANY_HOST_STALE_AFTER = Seconds(1.5)
"""Age of the server entries, in seconds, above which a host fetches from any
other host."""


def select_source(
    parts: HostParts, failed: Container[HostId], now: Monotonic
) -> HostFacts | None:
    """Select the host to fetch from; None if no fetch is needed.

    Args:
        parts: The state of the host.
        failed: Hosts that did not respond recently.
        now: The current time.
    """
    if parts.orders.freshness.asked_at is not None and is_lease_short(parts):
        return _select_remote(parts, failed, now)
    leader = parts.facts.find_leader(parts.settings.zone, now)
    if _is_stale(parts, now) and not _is_preferred(parts, leader, failed):
        return _select_any(parts, failed, now)
    if leader is None or leader.host == parts.settings.name:
        return None
    if leader.host in failed:
        return _select_remote(parts, failed, now)
    return leader


def _is_preferred(
    parts: HostParts, leader: HostFacts | None, failed: Container[HostId]
) -> bool:
    """Return whether to fetch from the leader although this host is stale.

    After an outage the leader is the first host of its zone to be current, but
    it may be stale itself; so only half of the fetches go to it.
    """
    if leader is None or leader.host == parts.settings.name:
        return False
    if leader.host in failed or leader.store_unreachable:
        return False
    return parts.random.choice((True, False))


def _select_remote(
    parts: HostParts, failed: Container[HostId], now: Monotonic
) -> HostFacts | None:
    """Select the leader of another zone, which reads the store as well."""
    leaders = parts.facts.select_remote_leaders(now, parts.random)
    responding = [facts for facts in leaders if facts.host not in failed]
    if responding:
        return parts.random.choice(responding)
    return _select_any(parts, failed, now)


def _select_any(
    parts: HostParts, failed: Container[HostId], now: Monotonic
) -> HostFacts | None:
    """Select any other host, one that is alive and responds if possible."""
    own_name = parts.settings.name
    peers = parts.facts.list_peers(now)
    alive = [
        facts for facts in parts.facts.list_alive(now) if facts.host != own_name
    ]
    responding = [facts for facts in alive if facts.host not in failed]
    candidates = responding or alive or peers
    return parts.random.choice(candidates) if candidates else None


def take_announcer(
    parts: HostParts, failed: Container[HostId]
) -> HostFacts | None:
    """Return and clear the host that announced orders, if they are newer.

    Args:
        parts: The state of the host.
        failed: Hosts that did not respond recently.
    """
    source = parts.orders_source
    parts.orders_source = None
    parts.orders_announced = trio.Event()
    if source is None:
        return None
    if source.get_orders_position() <= parts.orders.position:
        return None
    return None if source.host in failed else source


def _is_stale(parts: HostParts, now: Monotonic) -> bool:
    listed_at = parts.roster.last_listed_at or 0
    return not parts.has_read() or now - listed_at > ANY_HOST_STALE_AFTER


def select_in_zone(
    parts: HostParts, failed: Container[HostId], now: Monotonic
) -> HostFacts | None:
    """Select any other host of this zone, which may have fetched a change.

    Args:
        parts: The state of the host.
        failed: Hosts that did not respond recently.
        now: The current time.
    """
    responding = [
        facts
        for facts in parts.facts.list_candidates(parts.settings.zone, now)
        if facts.host != parts.settings.name and facts.host not in failed
    ]
    return parts.random.choice(responding) if responding else None
