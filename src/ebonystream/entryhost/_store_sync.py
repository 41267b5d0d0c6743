"""Synchronisation with the store: a task for orders, another for servers.

In each zone one host, the zone leader, reads the store, and the others fetch
the result from it. A host reads the store itself when its copy has become
stale because no other host could provide a newer one.
"""

from collections.abc import Awaitable, Callable

import attrs
import trio

from ebonystream._ids import BootTime, Monotonic, Offset, Seconds
from ebonystream.entryhost._dependency import Dependency
from ebonystream.entryhost._lease import get_orders_poll, is_lease_ending
from ebonystream.entryhost._outdated_sources import (
    STORE_SOURCE,
    OutdatedSources,
)
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._store_turns import (
    StoreCopy,
    wait_for_turn,
    wait_to_retry,
)
from ebonystream.errors import EbonystreamError
from ebonystream.orders import OrdersListing
from ebonystream.roster import EntriesListing

ORDERS_POLL_TIMEOUT = Seconds(2)
"""Upper bound on one long poll for new orders, in seconds."""

SERVERS_READ_PERIOD = Seconds(0.7)
"""Period of reading the entries of the servers, in seconds."""

ListOrders = Callable[[], Awaitable[OrdersListing]]
"""Reads all orders; raises `EbonystreamError` if the store fails."""

WaitForOrders = Callable[[Offset, Seconds], Awaitable[Offset]]
"""Waits until the orders extend beyond an offset; returns their end.

The second argument bounds the wait, in seconds.
"""

ListEntries = Callable[[], Awaitable[EntriesListing]]
"""Reads the entries of all servers; raises if the store fails."""


@attrs.frozen(kw_only=True)
class StoreReader:
    """Functions that read the store.

    Attributes:
        list_orders: Reads all orders.
        wait_for_orders: Waits for new orders.
        list_entries: Reads the entries of all servers.
    """

    list_orders: ListOrders
    wait_for_orders: WaitForOrders
    list_entries: ListEntries


async def sync_orders(parts: HostParts, reader: StoreReader) -> None:
    """Keep the orders up to date with the store; never return.

    Args:
        parts: The state of the host.
        reader: Functions that read the store.
    """
    store = Dependency('store: orders', parts.log_event, parts.timers)
    sources = OutdatedSources(parts.log_event)
    while True:
        if not await wait_for_turn(parts, StoreCopy.ORDERS):
            continue
        proven_at = parts.orders.freshness.asked_at
        try:
            await _read_orders(
                parts, reader, sources, can_wait=store.lost_at is None
            )
        except EbonystreamError as error:
            store.record_failure(str(error))
            await wait_to_retry(parts)
        else:
            store.record_success()
            await _pace_after_read(parts, proven_at)


async def sync_servers(parts: HostParts, reader: StoreReader) -> None:
    """Keep the roster up to date with the store; never return.

    Args:
        parts: The state of the host.
        reader: Functions that read the store.
    """
    store = Dependency('store: servers', parts.log_event, parts.timers)
    while True:
        if not await wait_for_turn(parts, StoreCopy.SERVERS):
            continue
        started_at = parts.timers.now()
        try:
            listing = await reader.list_entries()
        except EbonystreamError as error:
            store.record_failure(str(error))
            parts.store_unreachable = True
            parts.roster.record_outage(parts.timers.now())
            await wait_to_retry(parts)
            continue
        parts.store_unreachable = False
        if store.record_success():
            parts.cancel_orders_wait()
        update_roster(parts, listing, started_at)
        await trio.sleep_until(started_at + SERVERS_READ_PERIOD)


def update_orders(
    parts: HostParts, listing: OrdersListing, read_at: Monotonic
) -> None:
    """Update the orders, and log the change if there is one.

    Args:
        parts: The state of the host.
        listing: All orders.
        read_at: When the orders were read from the store.
    """
    orders = parts.orders
    if not orders.update(listing, read_at):
        return
    configuration = orders.configuration
    parts.log_event(
        'orders_taken',
        end=orders.end,
        configuration=configuration.version if configuration else None,
        zones_out=sorted(orders.zones_out),
        moves=[move.id for move in orders.moves],
        age_s=parts.timers.now() - read_at,
    )


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


async def _read_orders(
    parts: HostParts,
    reader: StoreReader,
    sources: OutdatedSources,
    *,
    can_wait: bool,
) -> None:
    if can_wait and parts.orders.listing is not None:
        if not await _wait_for_new_orders(parts, reader, sources):
            return
    known_end = parts.orders.end
    started_at = parts.timers.now()
    asked_at = parts.timers.boot_now()
    listing = await reader.list_orders()
    sources.compare(STORE_SOURCE, listing.end, known_end)
    update_orders(parts, listing, started_at)
    parts.orders.confirm_newest(listing.end, asked_at)


async def _pace_after_read(
    parts: HostParts, proven_at: BootTime | None
) -> None:
    """Wait if the store responded, but the lease still ends.

    A store that has lost orders proves nothing about newer ones, so that all
    hosts would read it again at once.

    Args:
        parts: The state of the host.
        proven_at: Time of the proof of freshness before the read.
    """
    is_proven = parts.orders.freshness.asked_at != proven_at
    if not is_proven and is_lease_ending(parts):
        await wait_to_retry(parts)


async def _wait_for_new_orders(
    parts: HostParts, reader: StoreReader, sources: OutdatedSources
) -> bool:
    """Wait for new orders; return whether to read the orders now.

    A cancelled wait returns True, so that the orders are read at once.
    """
    known_end = parts.orders.end
    asked_at = parts.timers.boot_now()
    poll_timeout = get_orders_poll(parts, ORDERS_POLL_TIMEOUT)
    with trio.CancelScope() as scope:
        parts.orders_wait_scope = scope
        end = await reader.wait_for_orders(known_end, poll_timeout)
        parts.orders.confirm_newest(end, asked_at)
        if end == known_end:
            taken = parts.timers.boot_now() - asked_at
            parts.store_latency = Seconds(max(0, taken - poll_timeout))
        parts.orders.confirm(parts.timers.now())
        if end <= known_end:
            # A higher end may stand for lost orders, which the listing shows.
            sources.compare(STORE_SOURCE, end, known_end)
        return end > known_end
    return True
