"""State that hosts share: orders and server entries read from the store."""

from typing import Annotated

import msgspec

from ebonystream._ids import Incarnation, Offset, Seconds, StoreEra
from ebonystream._validation import MAX_DURATION_S
from ebonystream.orders import OrdersListing, OrdersPosition
from ebonystream.roster import ServerEntry

Age = Annotated[Seconds, msgspec.Meta(ge=0, le=MAX_DURATION_S)]
"""Time since something was read, in seconds."""


class SharedRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for shared state: what the requesting host already has.

    Attributes:
        orders_end: Offset up to which it has the orders.
        source: Incarnation of the host that it last requested state from.
        revision: Revision of the server entries received from that host.
        orders_era: Era of the store that it has the orders of.
    """

    orders_end: Offset
    source: Incarnation
    revision: int
    orders_era: StoreEra = StoreEra(0)

    def get_orders_position(self) -> OrdersPosition:
        """Return the position up to which the host has the orders."""
        return OrdersPosition(self.orders_era, self.orders_end)


class SharedOrders(msgspec.Struct, frozen=True, array_like=True):
    """Orders as known to one host.

    Attributes:
        age: Time since the store last confirmed the orders, in seconds.
        listing: All orders; None if the requesting host already has them.
        end: Offset of the next order, according to the responding host.
        asked_age: Time since the store was asked whether these orders are the
            newest, including time of suspension; None if it never was.
        era: Era of the store that the responding host has the orders of.
    """

    age: Age
    listing: OrdersListing | None
    end: Offset | None = None
    asked_age: Age | None = None
    era: StoreEra = StoreEra(0)

    def get_position(self) -> OrdersPosition | None:
        """Return the position of the responding host; None if unknown."""
        return None if self.end is None else OrdersPosition(self.era, self.end)


class SharedEntries(msgspec.Struct, frozen=True, array_like=True):
    """Entries of the backend servers as known to one host.

    Attributes:
        age: Time since the entries were read, in seconds.
        revision: Revision of the entries: the number of changes to them
            within this incarnation of the host.
        entries: All entries; None if the requesting host already has them.
    """

    age: Age
    revision: int
    entries: tuple[ServerEntry, ...] | None


class SharedResponse(msgspec.Struct, frozen=True, array_like=True):
    """Response with the state that one host shares.

    Attributes:
        source: Incarnation of the responding host.
        orders: Orders; None if the host has never read any.
        entries: Server entries; None if the host has never read any.
    """

    source: Incarnation
    orders: SharedOrders | None
    entries: SharedEntries | None
