"""What operators have ordered, as far as this host has read it."""

import attrs

from ebonystream._ids import (
    Monotonic,
    MoveId,
    Offset,
    Seconds,
    ServiceName,
    VersionName,
    ZoneName,
)
from ebonystream.route import RouteConfiguration

INITIAL_OFFSET = Offset(0)


@attrs.frozen(kw_only=True)
class VersionOrder:
    """An order to move a service's requests to the servers of a version.

    Attributes:
        id: Names this order; the same order given again has another one.
        service: The service.
        version: The version that takes over.
        within: How long the move may take, in seconds.
    """

    id: MoveId
    service: ServiceName
    version: VersionName
    within: Seconds


@attrs.frozen(kw_only=True)
class OrdersListing:
    """Everything that operators ordered, at one offset of their stream.

    Attributes:
        end: The offset that their next order gets.
        configuration: The configuration; None where it can't be read.
        zones_out: Zones that get no work.
        moves: Version moves.
    """

    end: Offset
    configuration: RouteConfiguration | None
    zones_out: frozenset[ZoneName]
    moves: tuple[VersionOrder, ...]


@attrs.define
class Orders:
    """The orders in force here; they never go back.

    Attributes:
        listing: The newest listing; None before the first.
        configuration: The configuration in force; None before the first.
        confirmed_at: When the store last confirmed them, here or at a peer.
    """

    listing: OrdersListing | None = None
    configuration: RouteConfiguration | None = None
    confirmed_at: Monotonic | None = None

    @property
    def end(self) -> Offset:
        """The offset that the next order gets."""
        return self.listing.end if self.listing else INITIAL_OFFSET

    @property
    def zones_out(self) -> frozenset[ZoneName]:
        """The zones that get no work."""
        return self.listing.zones_out if self.listing else frozenset()

    @property
    def moves(self) -> tuple[VersionOrder, ...]:
        """The version moves that were ordered."""
        return self.listing.moves if self.listing else ()

    def confirm(self, read: Monotonic) -> None:
        """Note that the store had nothing newer.

        Args:
            read: When it said so.
        """
        if self.confirmed_at is None or read > self.confirmed_at:
            self.confirmed_at = read

    def update(self, listing: OrdersListing, read: Monotonic) -> bool:
        """Take a listing over; tell whether it brings anything new.

        Args:
            listing: All orders.
            read: When they were read from the store.
        """
        self.confirm(read)
        if self.listing is not None and listing.end <= self.end:
            return False
        self.listing = listing
        self._take_configuration(listing.configuration)
        return True

    def _take_configuration(self, newer: RouteConfiguration | None) -> None:
        if newer is None:
            return
        current = self.configuration
        if current is None or newer.version >= current.version:
            self.configuration = newer
