"""Following the store: one task for the orders, one for the servers.

In each zone one host, the speaker, reads the store; the others ask it. A host
reads the store itself where nobody could tell it anything new for a while.
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
"""How long one wait for new orders takes at most."""

SERVERS_PERIOD = Seconds(0.7)
"""How often the entries of the servers are read."""

STALE_AFTER = Seconds(1.8)
"""The age from which a host that is no speaker reads for itself."""

ORDERS_STALE_AFTER = Seconds(4.5)
RETRY_AFTER = Seconds(0.5)
"""How long after a failure the store is tried again."""

LOOK_PERIOD = Seconds(0.2)
"""How often a host looks whether it is its turn to read."""

ListOrders = Callable[[], Awaitable[OrdersListing]]
"""Reads all orders; raises `EbonystreamError` without the store."""

WaitForOrders = Callable[[Offset, Seconds], Awaitable[Offset]]
"""Waits until the orders reach beyond an offset, and gives their end."""

ListEntries = Callable[[], Awaitable[tuple[ServerEntry, ...]]]
"""Reads the entries of all servers; raises without the store."""


@attrs.frozen(kw_only=True)
class StoreReads:
    """What is read from the store.

    Attributes:
        list_orders: Reads all orders.
        wait_for_orders: Waits for new orders.
        list_entries: Reads the entries of all servers.
    """

    list_orders: ListOrders
    wait_for_orders: WaitForOrders
    list_entries: ListEntries


async def follow_orders(parts: HostParts, reads: StoreReads) -> None:
    """Keep the orders in step with the store, for ever.

    Args:
        parts: The state of the host.
        reads: Reads the store.
    """
    store = Dependency('store: orders', parts.note, parts.timers)
    while True:
        if not _must_read(parts, parts.orders.confirmed_at, ORDERS_STALE_AFTER):
            await parts.timers.wait(LOOK_PERIOD)
            continue
        try:
            await _read_orders(parts, reads, waits=store.lost_at is None)
        except EbonystreamError as error:
            store.lose(str(error))
            await parts.timers.wait(RETRY_AFTER)
        else:
            store.regain()


async def follow_servers(parts: HostParts, reads: StoreReads) -> None:
    """Keep the roster in step with the store, for ever.

    Args:
        parts: The state of the host.
        reads: Reads the store.
    """
    store = Dependency('store: servers', parts.note, parts.timers)
    while True:
        if not _must_read(parts, parts.roster.last_listed_at, STALE_AFTER):
            await parts.timers.wait(LOOK_PERIOD)
            continue
        began = parts.timers.now()
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
        take_entries(parts, entries, began)
        await trio.sleep_until(began + SERVERS_PERIOD)


def take_orders(
    parts: HostParts, listing: OrdersListing, read: Monotonic
) -> None:
    """Take orders over, and log what is new.

    Args:
        parts: The state of the host.
        listing: All orders.
        read: When they were read from the store.
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
    """Take the entries of all servers over, and log what is new.

    Args:
        parts: The state of the host.
        entries: The entries.
        read: When they were read from the store.
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
    parts: HostParts, reads: StoreReads, *, waits: bool
) -> None:
    if waits and parts.orders.listing is not None:
        if not await _wait_for_news(parts, reads):
            return
    began = parts.timers.now()
    take_orders(parts, await reads.list_orders(), began)


async def _wait_for_news(parts: HostParts, reads: StoreReads) -> bool:
    """Wait for new orders; tell whether they should be read now."""
    known = parts.orders.end
    with trio.CancelScope() as scope:
        parts.orders_wait = scope
        end = await reads.wait_for_orders(known, ORDERS_WAIT)
        parts.orders.confirm(parts.timers.now())
        return end > known
    return True
