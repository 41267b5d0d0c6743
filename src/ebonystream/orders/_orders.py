"""What operators have ordered, as far as this host has read it."""

import attrs

from ebonystream._ids import (
    Monotonic,
    Offset,
    Seconds,
    ServiceName,
    VersionName,
    ZoneName,
)
from ebonystream.route import RouteConfiguration

NOTHING_READ = Offset(0)


@attrs.frozen(kw_only=True)
class VersionOrder:
    """An order to move a service's requests to the servers of a version.

    Attributes:
        service: The service.
        version: The version that takes over.
        within: How long the move may take, in seconds.
    """

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
        end: The offset that the next order gets.
        configuration: The configuration in force; None before the first.
        zones_out: Zones that get no work.
        moves: Version moves that were ordered.
        read: When the store or a peer last told them.
    """

    end: Offset = NOTHING_READ
    configuration: RouteConfiguration | None = None
    zones_out: frozenset[ZoneName] = frozenset()
    moves: tuple[VersionOrder, ...] = ()
    read: Monotonic | None = None

    def take(self, listing: OrdersListing, now: Monotonic) -> bool:
        """Take a listing over; tell whether it brings anything new.

        Args:
            listing: All orders.
            now: When they were read.
        """
        self.read = now
        if listing.end <= self.end and self.configuration is not None:
            return False
        self.end = listing.end
        self.zones_out = listing.zones_out
        self.moves = listing.moves
        self._take_configuration(listing.configuration)
        return True

    def _take_configuration(self, newer: RouteConfiguration | None) -> None:
        if newer is None:
            return
        current = self.configuration
        if current is None or newer.version >= current.version:
            self.configuration = newer
