"""All moves and their rules.

Each host folds the same records in the same order. Nothing here reads a clock
or draws at random, so that all hosts come to the same moves.
"""

import attrs

from ebonystream._ids import MoveId, RequestId, ServiceName, ZoneName
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.move._move import Move, Verdict, VersionMove, ZoneMove
from ebonystream.move._place import RecordPlace
from ebonystream.move._records import (
    AskVersionMove,
    AskZoneMove,
    CloseMove,
    MoveRecord,
    TakeBack,
    VerdictKind,
    ZoneDirection,
)
from ebonystream.move._table import MoveTable
from ebonystream.move._versions import Versions
from ebonystream.move._zones import Zones


@attrs.define
class Moves:
    """Every open move, the latest closed ones, and what they came to.

    Attributes:
        table: The moves.
        zones: Which zones are out.
        versions: Where services stand.
    """

    table: MoveTable = attrs.field(factory=MoveTable)
    zones: Zones = attrs.field(factory=Zones)
    versions: Versions = attrs.field(factory=Versions)

    def take(self, record: MoveRecord, place: RecordPlace) -> None:
        """Take one record.

        Args:
            record: What is asked.
            place: Where the log has it.

        Raises:
            EbonystreamError: The record is rejected and changes nothing.
        """
        match record:
            case AskZoneMove():
                self._ask_zone(record, place)
            case AskVersionMove():
                self._ask_version(record, place)
            case TakeBack():
                self._end(record, VerdictKind.TAKEN_BACK, place)
            case CloseMove():
                self._end(record, record.verdict, place)
        self.check()

    def is_out(self, zone: ZoneName) -> bool:
        """Tell whether a zone gets no new work."""
        return zone in self.zones.out

    def check(self) -> None:
        """Assert what must hold after each record."""
        self.table.check()
        for move in self.table.list_version_moves():
            version = (move.service, move.to_version)
            returned = self.versions.is_taken_back(*version)
            assert not returned, f'{version} returned after it was taken back'
        for moving in self.table.list_zone_moves():
            is_out = moving.direction is ZoneDirection.OUT
            assert self.is_out(moving.zone) is is_out, (
                f'zone {moving.zone} does not stand where {moving.id} put it'
            )

    def _ask_zone(self, asked: AskZoneMove, place: RecordPlace) -> None:
        self.zones.check(asked.zone, asked.direction)
        reason = f'zone {asked.zone} was asked {asked.direction.value}'
        for one in self.table.list_zone_moves():
            if one.zone == asked.zone:
                kind = VerdictKind.TAKEN_BACK
                verdict = Verdict(kind, reason, place.at, asked.request)
                self.table.close(one, verdict)
        self.zones.move(asked.zone, asked.direction, place)
        self.table.add(
            ZoneMove(
                id=MoveId(asked.request),
                zone=asked.zone,
                direction=asked.direction,
                offset=place.offset,
                asked_ms=place.at,
            )
        )

    def _ask_version(self, asked: AskVersionMove, place: RecordPlace) -> None:
        self._check_free(asked.service)
        self.versions.check(asked, place)
        move = VersionMove(
            id=MoveId(asked.request),
            service=asked.service,
            from_version=asked.from_version,
            to_version=asked.to_version,
            finish_by_ms=asked.finish_by_ms,
            offset=place.offset,
            asked_ms=place.at,
        )
        self.table.add(move)
        self.versions.begin(move)

    def _check_free(self, service: ServiceName) -> None:
        for one in self.table.list_version_moves():
            if one.service == service:
                reason = f'{service} is in move {one.id} already'
                raise EbonystreamError(ErrorKind.MOVE_REJECTED, reason)

    def _end(
        self,
        record: TakeBack | CloseMove,
        kind: VerdictKind,
        place: RecordPlace,
    ) -> None:
        move = self.table.find_open(record.move)
        _check_end(move, record, kind)
        request = RequestId(record.request)
        self.table.close(move, Verdict(kind, record.reason, place.at, request))
        if isinstance(move, VersionMove):
            self.versions.end(move, kind)
        elif kind is VerdictKind.TAKEN_BACK:
            self.zones.move(move.zone, ZoneDirection.BACK, place)


def _check_end(
    move: Move, record: TakeBack | CloseMove, kind: VerdictKind
) -> None:
    if isinstance(move, VersionMove) or kind is VerdictKind.FINISHED:
        return
    if isinstance(record, CloseMove):
        reason = f'{move.id} moves a zone: only operators take it back'
        raise EbonystreamError(ErrorKind.MOVE_REJECTED, reason)
    if move.direction is ZoneDirection.BACK:
        reason = f'{move.id} brings a zone back: ask for the zone out'
        raise EbonystreamError(ErrorKind.MOVE_REJECTED, reason)
