"""Fetching from other hosts what they have read from the store."""

from collections.abc import Container

import attrs
import trio

from ebonystream._address import ServerAddress
from ebonystream._ids import HostId, Incarnation, Monotonic, Seconds
from ebonystream.entryhost._dependency import Dependency
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._store_sync import update_orders, update_roster
from ebonystream.gossip import (
    FetchShared,
    HostFacts,
    SharedEntries,
    SharedRequest,
    SharedResponse,
)
from ebonystream.roster import EntriesListing

FETCH_PERIOD = Seconds(0.35)
"""Period of fetching from the zone leader, in seconds."""

FIRST_FETCH_PERIOD = Seconds(0.01)
"""Delay before the first fetch. It doubles with each fetch until this host has
orders and entries, up to the usual period."""

FETCH_TIMEOUT = Seconds(0.3)
"""Timeout of a fetch, in seconds; it doubles with each one that fails."""

MAX_FETCH_TIMEOUT = Seconds(1.2)
"""Upper bound on that timeout, in seconds: a change may be large, and many
hosts may fetch it from one."""

FAILED_HOST_BACKOFF = Seconds(1)
"""How long a host that did not respond is not fetched from, in seconds."""

ANY_HOST_STALE_AFTER = Seconds(1.5)
"""Age of the server entries, in seconds, above which a host fetches from any
other host."""

NO_SOURCE = Incarnation('')
"""Source in the requests before the first response."""


@attrs.define
class _Failures:
    """Failed fetches, and how the next one is made.

    Attributes:
        failed_at: Time of the latest failure, by host.
        timeout: Timeout of the next fetch, in seconds.
        retry_delay: Delay after the next failure, in seconds.
    """

    failed_at: dict[HostId, Monotonic] = attrs.field(factory=dict)
    timeout: Seconds = FETCH_TIMEOUT
    retry_delay: Seconds = FIRST_FETCH_PERIOD

    def record_failure(self, host: HostId, now: Monotonic) -> Seconds:
        """Record a failure and return the delay until the next fetch."""
        self.failed_at[host] = now
        self.timeout = Seconds(min(2 * self.timeout, MAX_FETCH_TIMEOUT))
        delay = self.retry_delay
        self.retry_delay = Seconds(min(2 * delay, FETCH_PERIOD))
        return delay

    def record_success(self) -> None:
        """Return to the usual timeout and delay."""
        self.timeout = FETCH_TIMEOUT
        self.retry_delay = FIRST_FETCH_PERIOD

    def list_failed_hosts(self, now: Monotonic) -> set[HostId]:
        """List the hosts that are not fetched from now, and forget others."""
        self.failed_at = {
            host: at
            for host, at in self.failed_at.items()
            if now - at < FAILED_HOST_BACKOFF
        }
        return set(self.failed_at)


async def fetch_from_peers(parts: HostParts, fetch: FetchShared) -> None:
    """Fetch from the zone leader, or from any host when stale; never return.

    A host that does not respond is left alone for a while. It is the zone
    leader until its peers notice that it is gone, so others are tried at once.

    Args:
        parts: The state of the host.
        fetch: Fetches from a host.
    """
    # Failures of any other host that is fetched from are logged here as well.
    leader = Dependency('speaker of the zone', parts.log_event, parts.timers)
    request = SharedRequest(parts.orders.end, NO_SOURCE, 0)
    period = FIRST_FETCH_PERIOD
    failures = _Failures()
    while True:
        with trio.move_on_after(period):
            await parts.orders_announced.wait()
        period = _lengthen(parts, period)
        now = parts.timers.now()
        host = _select_host(parts, failures.list_failed_hosts(now), now)
        if host is None:
            continue
        shared: SharedResponse | None = None
        with trio.move_on_after(failures.timeout):
            shared = await fetch(_get_sharing_endpoint(parts, host), request)
        if shared is None:
            leader.record_failure(
                f'{host.host}: no answer in {failures.timeout} s'
            )
            period = failures.record_failure(host.host, parts.timers.now())
            continue
        leader.record_success()
        failures.record_success()
        request = _update_shared(parts, shared, request, parts.timers.now())


def _lengthen(parts: HostParts, period: Seconds) -> Seconds:
    if parts.has_read():
        return FETCH_PERIOD
    return Seconds(min(2 * period, FETCH_PERIOD))


def _select_host(
    parts: HostParts, failed: Container[HostId], now: Monotonic
) -> HostFacts | None:
    """Select the host to fetch from; None if no fetch is needed."""
    source = _take_order_source(parts)
    if source is not None and source.host not in failed:
        return source
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


def _take_order_source(parts: HostParts) -> HostFacts | None:
    """Return and clear the host that announced orders, if they are newer."""
    source = parts.orders_source
    parts.orders_source = None
    parts.orders_announced = trio.Event()
    if source is None or source.orders_end <= parts.orders.end:
        return None
    return source


def _is_stale(parts: HostParts, now: Monotonic) -> bool:
    listed_at = parts.roster.last_listed_at or 0
    return not parts.has_read() or now - listed_at > ANY_HOST_STALE_AFTER


def _get_sharing_endpoint(parts: HostParts, host: HostFacts) -> ServerAddress:
    """Return the address at which a host shares its state."""
    return ServerAddress(host.address, parts.settings.peer_endpoint.port + 1)


def _update_shared(
    parts: HostParts,
    response: SharedResponse,
    request: SharedRequest,
    now: Monotonic,
) -> SharedRequest:
    """Apply the response of a host; return the next request to it."""
    revision = request.revision if request.source == response.source else 0
    if response.orders is not None:
        read_at = Monotonic(now - response.orders.age)
        parts.orders.confirm(read_at)
        if response.orders.listing is not None:
            update_orders(parts, response.orders.listing, read_at)
    if response.entries is not None:
        read_at = Monotonic(now - response.entries.age)
        if _update_shared_entries(parts, response.entries, read_at):
            revision = response.entries.revision
    return SharedRequest(parts.orders.end, response.source, revision)


def _update_shared_entries(
    parts: HostParts, shared: SharedEntries, read_at: Monotonic
) -> bool:
    """Update the roster; return whether the entries were newer."""
    listed_at = parts.roster.last_listed_at
    if listed_at is not None and read_at <= listed_at:
        return False
    if shared.entries is None:
        parts.roster.confirm_listing(read_at)
    else:
        update_roster(parts, EntriesListing(shared.entries), read_at)
    return True
