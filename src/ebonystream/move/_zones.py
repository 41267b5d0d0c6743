"""Which zones are out, and when zones came back."""

import attrs

from ebonystream._ids import ZoneName
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.move._move import ZoneReturn
from ebonystream.move._place import RecordPlace
from ebonystream.move._records import ZoneDirection


@attrs.define
class Zones:
    """The zones that operators moved.

    Attributes:
        out: Zones that get no new work.
        returns: The last return of each zone.
    """

    out: set[ZoneName] = attrs.field(factory=set)
    returns: dict[ZoneName, ZoneReturn] = attrs.field(factory=dict)

    def check(self, zone: ZoneName, direction: ZoneDirection) -> None:
        """Refuse a move to where the zone stands already.

        Raises:
            EbonystreamError: The zone is there, or is not out.
        """
        if direction is ZoneDirection.OUT and zone in self.out:
            reason = f'zone {zone} is out already'
            raise EbonystreamError(ErrorKind.MOVE_REJECTED, reason)
        if direction is ZoneDirection.BACK and zone not in self.out:
            reason = f'zone {zone} is not out'
            raise EbonystreamError(ErrorKind.MOVE_REJECTED, reason)

    def move(
        self, zone: ZoneName, direction: ZoneDirection, place: RecordPlace
    ) -> None:
        """Put a zone out or back; a zone that returns is noted as cold."""
        if direction is ZoneDirection.OUT:
            self.out.add(zone)
            return
        self.out.discard(zone)
        self.returns[zone] = ZoneReturn(zone, place.offset, place.at)
