"""Synchronisation with the store: a task for orders, another for servers.

In each zone one host, the zone leader, reads the store, and the others fetch
the result from it. A host reads the store itself when its copy has become
stale because no other host could provide a newer one.
"""

import enum
from collections.abc import Awaitable, Callable

import attrs
import trio

from ebonystream._ids import Monotonic, Offset, Seconds
from ebonystream.entryhost._dependency import Dependency
from ebonystream.entryhost._lease import get_orders_poll
from ebonystream.entryhost._outdated_sources import (
    STORE_SOURCE,
    OutdatedSources,
)
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._store_turns import (
    StoreCopy,
    must_read,
    wait_for_turn,
    wait_to_retry,
)
from ebonystream.errors import EbonystreamError
from ebonystream.orders import (
    OrdersListing,
    OrdersPosition,
    OrdersUpdate,
    compute_proof_time,
)
from ebonystream.roster import EntriesListing

SERVERS_READ_PERIOD = Seconds(0.7)
"""Period of reading the entries of the servers, in seconds."""

ListOrders = Callable[[], Awaitable[OrdersListing]]
"""Reads all orders; raises `EbonystreamError` if the store fails."""

WaitForOrders = Callable[[Offset, Seconds], Awaitable[OrdersPosition | None]]
"""Waits until the orders extend beyond an offset.

Returns the position of the store; None if it doesn't have the offset. The
second argument bounds the wait, in seconds.
"""

ListEntries = Callable[[], Awaitable[EntriesListing]]
"""Reads the entries of all servers; raises if the store fails."""

CheckStore = Callable[[], Awaitable[None]]
"""Makes a call with a small response; raises if the store fails."""

NO_WAIT = Seconds(0)


class _StorePosition(enum.Enum):
    """How far the store has the orders, compared to this host."""

    UNKNOWN = 'unknown'
    SAME = 'same'
    BEHIND = 'behind'


@attrs.frozen(kw_only=True)
class StoreReader:
    """Functions that read the store.

    Attributes:
        list_orders: Reads all orders.
        wait_for_orders: Waits for new orders.
        list_entries: Reads the entries of all servers.
        check_store: Checks whether the store responds.
    """

    list_orders: ListOrders
    wait_for_orders: WaitForOrders
    list_entries: ListEntries
    check_store: CheckStore


async def sync_orders(parts: HostParts, reader: StoreReader) -> None:
    """Keep the orders up to date with the store; never return.

    Args:
        parts: The state of the host.
        reader: Functions that read the store.
    """
    store = Dependency('store: orders', parts.log_event, parts.timers)
    sources = OutdatedSources(parts.log_event)
    while True:
        is_lost = store.lost_at is not None
        if not await wait_for_turn(parts, StoreCopy.ORDERS, is_lost=is_lost):
            continue
        try:
            is_proven = await _read_orders(
                parts, reader, sources, can_wait=not is_lost
            )
        except EbonystreamError as error:
            store.record_failure(str(error))
            await wait_to_retry(parts)
        else:
            store.record_success()
            if not is_proven:
                await wait_to_retry(parts)


async def sync_servers(parts: HostParts, reader: StoreReader) -> None:
    """Keep the roster up to date with the store; never return.

    Args:
        parts: The state of the host.
        reader: Functions that read the store.
    """
    store = Dependency('store: servers', parts.log_event, parts.timers)
    while True:
        is_lost = store.lost_at is not None
        if not await wait_for_turn(parts, StoreCopy.SERVERS, is_lost=is_lost):
            continue
        started_at = parts.timers.now()
        try:
            listing = await _list_entries(parts, reader)
        except EbonystreamError as error:
            store.record_failure(str(error))
            parts.store_unreachable = True
            parts.roster.record_outage(parts.timers.now())
            await wait_to_retry(parts)
            continue
        parts.store_unreachable = False
        if store.record_success():
            parts.cancel_orders_wait()
        if listing is None:
            continue
        update_roster(parts, listing, started_at)
        await trio.sleep_until(started_at + SERVERS_READ_PERIOD)


def update_orders(
    parts: HostParts, listing: OrdersListing, read_at: Monotonic
) -> OrdersUpdate:
    """Update the orders, and log the change if there is one.

    Args:
        parts: The state of the host.
        listing: All orders.
        read_at: When the orders were read from the store.
    """
    orders = parts.orders
    known = orders.position if orders.listing else listing.position
    update = orders.update(listing, read_at)
    if update is not OrdersUpdate.TAKEN:
        return update
    if orders.position.era > known.era:
        _log_return(parts, known)
    now = parts.timers.now()
    configuration = orders.configuration
    parts.log_event(
        'orders_taken',
        era=orders.position.era,
        end=orders.end,
        configuration=configuration.version if configuration else None,
        zones_out=sorted(orders.get_zones_out(now)),
        moves=[move.id for move in orders.list_moves(now)],
        age_s=now - read_at,
    )
    return update


def update_roster(
    parts: HostParts, listing: EntriesListing, read_at: Monotonic
) -> None:
    """Update the roster, and log the change if there is one.

    Args:
        parts: The state of the host.
        listing: The entries of all servers.
        read_at: When the entries were read from the store.
    """
    change = parts.roster.apply_listing(
        listing.entries, read_at, unreadable=listing.unreadable
    )
    if change.has_changes():
        parts.log_event(
            'roster_changed',
            joined=change.joined,
            left=change.left,
            leaving=change.leaving,
            servers=len(parts.roster.servers),
            age_s=parts.timers.now() - read_at,
        )


def _log_return(parts: HostParts, known: OrdersPosition) -> None:
    """Log that the store has returned from an older copy."""
    orders = parts.orders
    now = parts.timers.now()
    parts.log_event(
        'store_returned',
        era=orders.position.era,
        known_era=known.era,
        end=orders.position.end,
        known_end=known.end,
        zones_out=sorted(orders.carried.list_zones_out(now)),
        moves=[move.id for move in orders.carried.list_moves(now)],
    )


async def _list_entries(
    parts: HostParts, reader: StoreReader
) -> EntriesListing | None:
    """List the entries; only check the store if others supply this host."""
    if must_read(parts, StoreCopy.SERVERS):
        return await reader.list_entries()
    await reader.check_store()
    return None


async def _read_orders(
    parts: HostParts,
    reader: StoreReader,
    sources: OutdatedSources,
    *,
    can_wait: bool,
) -> bool:
    """Read the orders if the store has others than this host.

    Returns:
        Whether the store has proved something. One that is behind this host
        proves nothing, so that all hosts would read it again at once.
    """
    store = _StorePosition.UNKNOWN
    if parts.orders.listing is not None:
        poll = get_orders_poll(parts) if can_wait else NO_WAIT
        store = await _wait_for_new_orders(parts, reader, poll)
        if store is _StorePosition.SAME:
            return True
    known = parts.orders.position
    started_at = parts.timers.now()
    asked_at = parts.timers.boot_now()
    listing = await reader.list_orders()
    sources.compare(STORE_SOURCE, listing.position, known)
    update = update_orders(parts, listing, started_at)
    parts.orders.confirm_newest(listing.position, asked_at)
    if store is _StorePosition.BEHIND:
        return update is OrdersUpdate.TAKEN
    return update is not OrdersUpdate.OUTDATED


async def _wait_for_new_orders(
    parts: HostParts, reader: StoreReader, poll_timeout: Seconds
) -> _StorePosition:
    """Wait for new orders; a cancelled wait tells nothing."""
    known = parts.orders.position
    asked_at = parts.timers.boot_now()
    with trio.CancelScope() as scope:
        parts.orders_wait_scope = scope
        found = await reader.wait_for_orders(known.end, poll_timeout)
        responded_at = parts.timers.boot_now()
        if found == known:
            proven_at = compute_proof_time(asked_at, responded_at, poll_timeout)
            parts.orders.confirm_newest(found, proven_at)
            taken = responded_at - asked_at
            parts.store_latency = Seconds(max(0, taken - poll_timeout))
            parts.orders.confirm(found, parts.timers.now())
            return _StorePosition.SAME
        if found is None or found < known:
            return _StorePosition.BEHIND
    return _StorePosition.UNKNOWN
