"""Synchronisation with the store: a task for orders, another for servers.

In each zone one host, the zone leader, reads the store, and the others fetch
the result from it. A host reads the store itself when its copy has become
stale because no other host could provide a newer one.
"""

from collections.abc import Awaitable, Callable

import attrs
import trio

from ebonystream._ids import Monotonic, Offset, Seconds
from ebonystream.entryhost._dependency import Dependency
from ebonystream.entryhost._parts import HostParts
from ebonystream.errors import EbonystreamError
from ebonystream.orders import OrdersListing
from ebonystream.roster import ServerEntry

ORDERS_WAIT = Seconds(2)
"""Upper bound on one long poll for new orders, in seconds."""

SERVERS_PERIOD = Seconds(0.7)
"""Period of reading the entries of the servers, in seconds."""

STALE_AFTER = Seconds(1.8)
"""Age of the server entries, in seconds, above which a host that is not the
zone leader reads the store itself."""

ORDERS_STALE_AFTER = Seconds(4.5)
"""Likewise, the age of the orders, in seconds."""

RETRY_AFTER = Seconds(0.5)
"""Delay before the next read after a failed one, in seconds."""

LOOK_PERIOD = Seconds(0.2)
"""How often a host checks whether it has to read the store, in seconds."""

ListOrders = Callable[[], Awaitable[OrdersListing]]
"""Reads all orders; raises `EbonystreamError` if the store fails."""

WaitForOrders = Callable[[Offset, Seconds], Awaitable[Offset]]
"""Waits until the orders extend beyond an offset; returns their end.

The second argument bounds the wait, in seconds.
"""

ListEntries = Callable[[], Awaitable[tuple[ServerEntry, ...]]]
"""Reads the entries of all servers; raises if the store fails."""


@attrs.frozen(kw_only=True)
class StoreReads:
    """Functions that read the store.

    Attributes:
        list_orders: Reads all orders.
        wait_for_orders: Waits for new orders.
        list_entries: Reads the entries of all servers.
    """

    list_orders: ListOrders
    wait_for_orders: WaitForOrders
    list_entries: ListEntries


async def follow_orders(parts: HostParts, reads: StoreReads) -> None:
    """Keep the orders up to date with the store; never return.

    Args:
        parts: The state of the host.
        reads: Functions that read the store.
    """
    store = Dependency('store: orders', parts.note, parts.timers)
    while True:
        if not _must_read(parts, parts.orders.confirmed_at, ORDERS_STALE_AFTER):
            await parts.timers.wait(LOOK_PERIOD)
            continue
        try:
            await _read_orders(parts, reads, can_wait=store.lost_at is None)
        except EbonystreamError as error:
            store.lose(str(error))
            await parts.timers.wait(RETRY_AFTER)
        else:
            store.regain()


async def follow_servers(parts: HostParts, reads: StoreReads) -> None:
    """Keep the roster up to date with the store; never return.

    Args:
        parts: The state of the host.
        reads: Functions that read the store.
    """
    store = Dependency('store: servers', parts.note, parts.timers)
    while True:
        if not _must_read(parts, parts.roster.last_listed_at, STALE_AFTER):
            await parts.timers.wait(LOOK_PERIOD)
            continue
        started_at = parts.timers.now()
        try:
            entries = await reads.list_entries()
        except EbonystreamError as error:
            store.lose(str(error))
            parts.detached = True
            parts.roster.record_outage(parts.timers.now())
            await parts.timers.wait(RETRY_AFTER)
            continue
        parts.detached = False
        if store.regain():
            parts.wake_orders()
        take_entries(parts, entries, started_at)
        await trio.sleep_until(started_at + SERVERS_PERIOD)


def take_orders(
    parts: HostParts, listing: OrdersListing, read: Monotonic
) -> None:
    """Update the orders, and log the change if there is one.

    Args:
        parts: The state of the host.
        listing: All orders.
        read: When the orders were read from the store.
    """
    orders = parts.orders
    if not orders.update(listing, read):
        return
    configuration = orders.configuration
    parts.note(
        'orders_taken',
        end=orders.end,
        configuration=configuration.version if configuration else None,
        zones_out=sorted(orders.zones_out),
        moves=[move.id for move in orders.moves],
        age_s=parts.timers.now() - read,
    )


def take_entries(
    parts: HostParts, entries: tuple[ServerEntry, ...], read: Monotonic
) -> None:
    """Update the roster, and log the change if there is one.

    Args:
        parts: The state of the host.
        entries: The entries of all servers.
        read: When the entries were read from the store.
    """
    change = parts.roster.apply_listing(entries, read)
    if change.has_changes():
        parts.note(
            'roster_changed',
            joined=change.joined,
            left=change.left,
            leaving=change.leaving,
            servers=len(parts.roster.servers),
            age_s=parts.timers.now() - read,
        )


def _must_read(
    parts: HostParts, read: Monotonic | None, stale_after: Seconds
) -> bool:
    now = parts.timers.now()
    if read is None or parts.facts.is_leader(now):
        return True
    return now - read > stale_after


async def _read_orders(
    parts: HostParts, reads: StoreReads, *, can_wait: bool
) -> None:
    if can_wait and parts.orders.listing is not None:
        if not await _wait_for_new_orders(parts, reads):
            return
    started_at = parts.timers.now()
    take_orders(parts, await reads.list_orders(), started_at)


async def _wait_for_new_orders(parts: HostParts, reads: StoreReads) -> bool:
    """Wait for new orders; return whether to read the orders now.

    A cancelled wait returns True, so that the orders are read at once.
    """
    known_end = parts.orders.end
    with trio.CancelScope() as scope:
        parts.orders_wait = scope
        end = await reads.wait_for_orders(known_end, ORDERS_WAIT)
        parts.orders.confirm(parts.timers.now())
        return end > known_end
    return True
