"""Evacuated zones, and the latest return of each zone."""

import attrs

from ebonystream._ids import ZoneName
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.move._move import ZoneReturn
from ebonystream.move._position import LogPosition
from ebonystream.move._records import ZoneDirection


@attrs.define
class Zones:
    """The zones that operators have moved.

    Attributes:
        evacuated: Evacuated zones, which get no new calls.
        returns: The latest return of each zone.
    """

    evacuated: set[ZoneName] = attrs.field(factory=set)
    returns: dict[ZoneName, ZoneReturn] = attrs.field(factory=dict)

    def check_move(self, zone: ZoneName, direction: ZoneDirection) -> None:
        """Reject a move that would not change the state of its zone.

        Raises:
            EbonystreamError: The zone is already evacuated, or is in use and
                cannot return.
        """
        if direction is ZoneDirection.OUT and zone in self.evacuated:
            reason = f'zone {zone} is out already'
            raise EbonystreamError(ErrorKind.MOVE_REJECTED, reason)
        if direction is ZoneDirection.BACK and zone not in self.evacuated:
            reason = f'zone {zone} is not out'
            raise EbonystreamError(ErrorKind.MOVE_REJECTED, reason)

    def apply_move(
        self, zone: ZoneName, direction: ZoneDirection, position: LogPosition
    ) -> None:
        """Evacuate a zone, or return it to use and record the return."""
        if direction is ZoneDirection.OUT:
            self.evacuated.add(zone)
            return
        self.evacuated.discard(zone)
        self.returns[zone] = ZoneReturn(zone, position.offset, position.at_ms)
