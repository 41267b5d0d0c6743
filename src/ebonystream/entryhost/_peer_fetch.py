"""Fetching from other hosts what they have read from the store."""

import trio

from ebonystream._address import ServerAddress
from ebonystream._ids import (
    BootTime,
    Incarnation,
    Monotonic,
    Seconds,
)
from ebonystream.entryhost._dependency import Dependency
from ebonystream.entryhost._fetch_source import (
    select_in_zone,
    select_source,
    take_announcer,
)
from ebonystream.entryhost._fetch_state import (
    FETCH_PERIOD,
    FIRST_FETCH_PERIOD,
    Fetched,
    FetchFailures,
    MissingOrders,
)
from ebonystream.entryhost._outdated_sources import OutdatedSources
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._store_sync import update_orders, update_roster
from ebonystream.gossip import (
    FetchShared,
    HostFacts,
    SharedEntries,
    SharedOrders,
    SharedRequest,
    SharedResponse,
)
from ebonystream.roster import EntriesListing

PACED_FETCH_PERIOD = Seconds(0.08)
"""Delay before the next fetch after a host left out its newer orders, as it
was sending them to others."""

NO_SOURCE = Incarnation('')
"""Source in the requests before the first response."""


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
    request = _make_request(parts, NO_SOURCE, 0)
    period = FIRST_FETCH_PERIOD
    failures = FetchFailures()
    missing = MissingOrders()
    sources = OutdatedSources(parts.log_event)
    while True:
        with trio.move_on_after(period):
            await parts.orders_announced.wait()
        period = _lengthen(parts, period)
        host = _select_host(parts, failures, missing)
        if host is None:
            continue
        updated = await _fetch_from(
            host, parts, fetch, request, _get_timeout(failures, missing)
        )
        if updated is None:
            leader.record_failure(
                f'{host.host}: no answer in {_get_timeout(failures, missing)} s'
            )
            period = failures.record_failure(host.host, parts.timers.now())
            continue
        leader.record_success()
        failures.record_success()
        _compare_end(sources, host, updated.orders, request)
        request = updated.request
        missing.record(updated.orders, parts.orders.position)
        if missing.is_sought():
            period = PACED_FETCH_PERIOD


def _select_host(
    parts: HostParts, failures: FetchFailures, missing: MissingOrders
) -> HostFacts | None:
    now = parts.timers.now()
    failed = failures.list_failed_hosts(now)
    announcer = take_announcer(parts, failed)
    if announcer is not None:
        return announcer
    if missing.is_sought():
        return select_in_zone(parts, failed, now)
    return select_source(parts, failed, now)


async def _fetch_from(
    host: HostFacts,
    parts: HostParts,
    fetch: FetchShared,
    request: SharedRequest,
    time_limit: Seconds,
) -> Fetched | None:
    """Fetch from a host and apply its response; None without one in time."""
    asked_at = parts.timers.boot_now()
    shared: SharedResponse | None = None
    with trio.move_on_after(time_limit):
        shared = await fetch(_get_sharing_endpoint(parts, host), request)
    if shared is None:
        return None
    updated = _update_shared(parts, shared, request, parts.timers.now())
    _confirm_orders(parts, shared.orders, asked_at)
    return Fetched(updated, shared.orders)


def _get_timeout(failures: FetchFailures, missing: MissingOrders) -> Seconds:
    return missing.lengthen_timeout(failures.timeout)


def _compare_end(
    sources: OutdatedSources,
    host: HostFacts,
    shared: SharedOrders | None,
    request: SharedRequest,
) -> None:
    position = None if shared is None else shared.get_position()
    if position is not None:
        sources.compare(host.host, position, request.get_orders_position())


def _lengthen(parts: HostParts, period: Seconds) -> Seconds:
    if parts.has_read():
        return FETCH_PERIOD
    return Seconds(min(2 * period, FETCH_PERIOD))


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
        _update_shared_orders(parts, response.orders, now)
    if response.entries is not None:
        read_at = Monotonic(now - response.entries.age)
        if _update_shared_entries(parts, response.entries, read_at):
            revision = response.entries.revision
    return _make_request(parts, response.source, revision)


def _update_shared_orders(
    parts: HostParts, shared: SharedOrders, now: Monotonic
) -> None:
    """Update the orders; a host of another position confirms nothing."""
    read_at = Monotonic(now - shared.age)
    position = shared.get_position()
    if shared.listing is not None:
        update_orders(parts, shared.listing, read_at)
    elif position is not None:
        parts.orders.confirm(position, read_at)


def _make_request(
    parts: HostParts, source: Incarnation, revision: int
) -> SharedRequest:
    position = parts.orders.position
    return SharedRequest(position.end, source, revision, position.era)


def _confirm_orders(
    parts: HostParts, shared: SharedOrders | None, asked_at: BootTime
) -> None:
    """Take over the proof that the orders are the newest, with its true age.

    The age was computed after this host asked, so that the time of asking less
    this age is not after the time at which the store was asked.
    """
    if shared is None or shared.asked_age is None:
        return
    position = shared.get_position()
    if position is not None:
        parts.orders.confirm_newest(
            position, BootTime(asked_at - shared.asked_age)
        )


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
