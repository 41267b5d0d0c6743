"""Following the store: one task for the orders, one for the servers."""

from collections.abc import Awaitable, Callable

import attrs

from ebonystream._ids import Monotonic, Offset, Seconds
from ebonystream.entryhost._parts import HostParts
from ebonystream.errors import EbonystreamError
from ebonystream.orders import OrdersListing
from ebonystream.roster import ServerEntry

ORDERS_WAIT = Seconds(4)
"""How long one wait for new orders takes at most."""

SERVERS_PERIOD = Seconds(1)
"""How often the entries of the servers are read."""

RETRY_AFTER = Seconds(0.3)

ListOrders = Callable[[], Awaitable[OrdersListing]]
"""Reads all orders; raises `EbonystreamError` without the store."""

WaitForOrders = Callable[[Offset, Seconds], Awaitable[Offset]]
"""Waits until the orders reach beyond an offset, and gives their end."""

ListEntries = Callable[[], Awaitable[tuple[ServerEntry, ...]]]
"""Reads the entries of all servers; raises without the store."""


@attrs.define
class Dependency:
    """Whether something that this host depends on answers.

    Attributes:
        name: What it is.
        parts: Writes the log.
        lost_at: Since when it doesn't answer; None while it does.
    """

    name: str
    parts: HostParts
    lost_at: Monotonic | None = None

    def lose(self, error: EbonystreamError) -> None:
        """Note that it did not answer; the first time is logged."""
        if self.lost_at is None:
            self.lost_at = self.parts.timers.now()
            self.parts.note(
                'dependency_lost', dependency=self.name, why=str(error)
            )

    def regain(self) -> None:
        """Note that it answered; the first time after a loss is logged."""
        if self.lost_at is not None:
            away = self.parts.timers.now() - self.lost_at
            self.lost_at = None
            self.parts.note(
                'dependency_regained', dependency=self.name, away_s=away
            )


async def follow_orders(
    parts: HostParts, list_orders: ListOrders, wait: WaitForOrders
) -> None:
    """Keep the orders in step with the store, for ever.

    Args:
        parts: The state of the host.
        list_orders: Reads all orders.
        wait: Waits for new ones.
    """
    store = Dependency('store: orders', parts)
    while True:
        try:
            await _follow_orders_once(parts, list_orders, wait)
        except EbonystreamError as error:
            store.lose(error)
            await parts.timers.wait(RETRY_AFTER)
        else:
            store.regain()


async def _follow_orders_once(
    parts: HostParts, list_orders: ListOrders, wait: WaitForOrders
) -> None:
    orders = parts.orders
    if orders.configuration is not None:
        end = await wait(orders.end, ORDERS_WAIT)
        orders.read = parts.timers.now()
        if end <= orders.end:
            return
    before = parts.orders.configuration
    listing = await list_orders()
    news = parts.orders.take(listing, parts.timers.now())
    if before is None and listing.configuration is None:
        await wait(listing.end, ORDERS_WAIT)
    if news:
        note_orders(parts)


def note_orders(parts: HostParts) -> None:
    """Log the orders that are in force from now on."""
    orders = parts.orders
    configuration = orders.configuration
    parts.note(
        'orders_taken',
        end=orders.end,
        configuration=configuration.version if configuration else None,
        zones_out=sorted(orders.zones_out),
        moves=[f'{move.service}>{move.version}' for move in orders.moves],
    )


async def follow_servers(parts: HostParts, list_entries: ListEntries) -> None:
    """Keep the roster in step with the store, for ever.

    Args:
        parts: The state of the host.
        list_entries: Reads all entries.
    """
    store = Dependency('store: servers', parts)
    async for now in parts.timers.subscribe(period=SERVERS_PERIOD):
        try:
            entries = await list_entries()
        except EbonystreamError as error:
            store.lose(error)
            parts.roster.note_outage(parts.timers.now())
            continue
        store.regain()
        _take_entries(parts, entries, now)


def _take_entries(
    parts: HostParts, entries: tuple[ServerEntry, ...], now: Monotonic
) -> None:
    change = parts.roster.take(entries, now)
    if change.is_any():
        parts.note(
            'roster_changed',
            joined=change.joined,
            left=change.left,
            leaving=change.leaving,
            servers=len(parts.roster.servers),
        )
