"""The state of all moves, and the rules by which records change it.

Each host applies the same records in the same order. No rule reads a clock or
uses random numbers, so that all hosts reach the same state.
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
    """The open moves, the latest closed ones, and their results.

    Attributes:
        table: The moves.
        zones: The evacuated zones and the latest returns.
        versions: The versions of services.
    """

    table: MoveTable = attrs.field(factory=MoveTable)
    zones: Zones = attrs.field(factory=Zones)
    versions: Versions = attrs.field(factory=Versions)

    def take(self, record: MoveRecord, position: RecordPlace) -> None:
        """Apply a record.

        Args:
            record: The record.
            position: Its offset and time in the log.

        Raises:
            EbonystreamError: The record is rejected and changes nothing.
        """
        match record:
            case AskZoneMove():
                self._request_zone_move(record, position)
            case AskVersionMove():
                self._request_version_move(record, position)
            case TakeBack():
                self._close(record, VerdictKind.TAKEN_BACK, position)
            case CloseMove():
                self._close(record, record.verdict, position)
        self.check()

    def is_out(self, zone: ZoneName) -> bool:
        """Return whether a zone is evacuated, so that it gets no new calls."""
        return zone in self.zones.out

    def check(self) -> None:
        """Assert the invariants of the state after each record."""
        self.table.check()
        for move in self.table.list_version_moves():
            version = (move.service, move.to_version)
            returned = self.versions.is_taken_back(*version)
            assert not returned, f'{version} returned after it was taken back'
        for zone_move in self.table.list_zone_moves():
            evacuates = zone_move.direction is ZoneDirection.OUT
            assert self.is_out(zone_move.zone) is evacuates, (
                f'zone {zone_move.zone} does not stand where {zone_move.id} '
                'put it'
            )

    def _request_zone_move(
        self, record: AskZoneMove, position: RecordPlace
    ) -> None:
        self.zones.check(record.zone, record.direction)
        reason = f'zone {record.zone} was asked {record.direction.value}'
        for move in self.table.list_zone_moves():
            if move.zone == record.zone:
                kind = VerdictKind.TAKEN_BACK
                verdict = Verdict(kind, reason, position.at, record.request)
                self.table.close(move, verdict)
        self.zones.move(record.zone, record.direction, position)
        self.table.add(
            ZoneMove(
                id=MoveId(record.request),
                zone=record.zone,
                direction=record.direction,
                offset=position.offset,
                asked_ms=position.at,
            )
        )

    def _request_version_move(
        self, record: AskVersionMove, position: RecordPlace
    ) -> None:
        self._check_free(record.service)
        self.versions.check(record, position)
        move = VersionMove(
            id=MoveId(record.request),
            service=record.service,
            from_version=record.from_version,
            to_version=record.to_version,
            finish_by_ms=record.finish_by_ms,
            offset=position.offset,
            asked_ms=position.at,
        )
        self.table.add(move)
        self.versions.begin(move)

    def _check_free(self, service: ServiceName) -> None:
        for move in self.table.list_version_moves():
            if move.service == service:
                reason = f'{service} is in move {move.id} already'
                raise EbonystreamError(ErrorKind.MOVE_REJECTED, reason)

    def _close(
        self,
        record: TakeBack | CloseMove,
        kind: VerdictKind,
        position: RecordPlace,
    ) -> None:
        move = self.table.find_open(record.move)
        _check_verdict(move, record, kind)
        request = RequestId(record.request)
        self.table.close(
            move, Verdict(kind, record.reason, position.at, request)
        )
        if isinstance(move, VersionMove):
            self.versions.end(move, kind)
        elif kind is VerdictKind.TAKEN_BACK:
            self.zones.move(move.zone, ZoneDirection.BACK, position)


def _check_verdict(
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
