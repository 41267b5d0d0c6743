"""Orders of operators, up to the position that this host has read."""

import enum

import attrs

from ebonystream._ids import (
    BootTime,
    Monotonic,
    Offset,
    StoreEra,
    ZoneName,
)
from ebonystream.orders._carried import (
    CarriedOrders,
    carry_orders,
    drop_listed_moves,
    drop_listed_zones,
    identify_move,
)
from ebonystream.orders._freshness import Freshness
from ebonystream.orders._position import FIRST_POSITION, OrdersPosition
from ebonystream.orders._version_order import VersionOrder
from ebonystream.route import RouteConfiguration


class OrdersUpdate(enum.Enum):
    """How a listing compares to the one that a host has."""

    TAKEN = 'taken'
    CONFIRMED = 'confirmed'
    OUTDATED = 'outdated'


@attrs.frozen(kw_only=True)
class OrdersListing:
    """Snapshot of all orders at one position of the stream of orders.

    Attributes:
        end: Offset of the next order in the stream.
        configuration: Route configuration; None if there is none or it cannot
            be decoded.
        zones_out: Evacuated zones, which receive no requests.
        moves: Version moves.
        era: Era of the store that it was read in.
    """

    end: Offset
    configuration: RouteConfiguration | None
    zones_out: frozenset[ZoneName]
    moves: tuple[VersionOrder, ...]
    era: StoreEra = StoreEra(0)

    @property
    def position(self) -> OrdersPosition:
        """Position in the stream of orders."""
        return OrdersPosition(self.era, self.end)


@attrs.define
class Orders:
    """Orders in force on this host; older ones never replace newer ones.

    Attributes:
        listing: Newest listing; None until the first is read.
        configuration: Configuration in force, which is the newest valid one;
            None until the first is read.
        confirmed_at: Time at which the store last confirmed the orders, to this
            host or to a peer.
        freshness: Proof that the orders were the newest at some time.
        carried: Orders of the previous era that stay in force for a while.
        moves: Version moves of the newest listing, identified across eras.
    """

    listing: OrdersListing | None = None
    configuration: RouteConfiguration | None = None
    confirmed_at: Monotonic | None = None
    freshness: Freshness = attrs.field(factory=Freshness)
    carried: CarriedOrders = attrs.field(factory=CarriedOrders)
    moves: tuple[VersionOrder, ...] = ()

    @property
    def position(self) -> OrdersPosition:
        """Position up to which this host has the orders."""
        return self.listing.position if self.listing else FIRST_POSITION

    @property
    def end(self) -> Offset:
        """Offset of the next order, which only its era gives a meaning."""
        return self.position.end

    def get_zones_out(self, now: Monotonic) -> frozenset[ZoneName]:
        """Return the evacuated zones, which receive no requests.

        Args:
            now: The current time.
        """
        listed = self.listing.zones_out if self.listing else frozenset()
        return self.carried.list_zones_out(now).union(listed)

    def list_moves(self, now: Monotonic) -> tuple[VersionOrder, ...]:
        """List the version moves that are ordered.

        Args:
            now: The current time.
        """
        return self.moves + self.carried.list_moves(now)

    def confirm(self, newest: OrdersPosition, read_at: Monotonic) -> None:
        """Record that the store had no newer orders than those of a position.

        Another position than that of this host says nothing of its orders.

        Args:
            newest: Position of the store, or of a host that has read it.
            read_at: Time at which the store was read.
        """
        if self.listing is None or newest != self.position:
            return
        if self.confirmed_at is None or read_at > self.confirmed_at:
            self.confirmed_at = read_at

    def confirm_newest(
        self, newest: OrdersPosition, asked_at: BootTime
    ) -> None:
        """Record that the store was asked for the end of the orders.

        Args:
            newest: Position of the store.
            asked_at: When the store was asked.
        """
        if self.listing is not None:
            self.freshness.confirm(asked_at, newest=newest, held=self.position)

    def update(
        self, listing: OrdersListing, read_at: Monotonic
    ) -> OrdersUpdate:
        """Replace the listing if the position of the given one is higher.

        An invalid or older configuration leaves the one in force.

        Args:
            listing: Listing read from the store.
            read_at: Time at which the store was read.
        """
        if self.listing is not None and listing.position < self.position:
            return OrdersUpdate.OUTDATED
        if self.listing is not None and listing.position == self.position:
            self.confirm(listing.position, read_at)
            return OrdersUpdate.CONFIRMED
        self._carry(listing, read_at)
        self._apply_configuration(listing.configuration)
        # Other hosts get what is in force, not what the store has lost.
        self.listing = attrs.evolve(
            listing, configuration=self.configuration, moves=self.moves
        )
        self.confirm(listing.position, read_at)
        return OrdersUpdate.TAKEN

    def _carry(self, listing: OrdersListing, now: Monotonic) -> None:
        """Carry what is in force into a new era, and drop what is listed."""
        if self.listing is not None and listing.era > self.listing.era:
            self.carried = carry_orders(
                self.get_zones_out(now),
                self.list_moves(now),
                era=listing.era,
                now=now,
            )
        carried = drop_listed_zones(self.carried, listing.zones_out)
        self.carried = drop_listed_moves(carried, listing.moves, now)
        self.moves = tuple(
            identify_move(move, self.carried) for move in listing.moves
        )

    def _apply_configuration(self, listed: RouteConfiguration | None) -> None:
        if listed is None:
            return
        current = self.configuration
        if current is None or listed.version >= current.version:
            self.configuration = listed
