"""The state of all moves, and the rules by which records change it.

Each host applies the same records in the same order. No rule reads a clock or
uses random numbers, so that all hosts reach the same state.
"""

import attrs

from ebonystream._ids import MoveId, RequestId, ServiceName, ZoneName
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.move._move import Move, Verdict, VersionMove, ZoneMove
from ebonystream.move._position import LogPosition
from ebonystream.move._records import (
    CloseMove,
    MoveRecord,
    RequestVersionMove,
    RequestZoneMove,
    RollBackMove,
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

    def apply(self, record: MoveRecord, position: LogPosition) -> None:
        """Apply a record.

        Args:
            record: The record.
            position: Its offset and time in the log.

        Raises:
            EbonystreamError: The record is rejected and changes nothing.
        """
        match record:
            case RequestZoneMove():
                self._request_zone_move(record, position)
            case RequestVersionMove():
                self._request_version_move(record, position)
            case RollBackMove():
                self._close(record, VerdictKind.ROLLED_BACK, position)
            case CloseMove():
                self._close(record, record.verdict, position)
        self.check_invariants()

    def is_evacuated(self, zone: ZoneName) -> bool:
        """Return whether a zone is evacuated, so that it gets no new calls."""
        return zone in self.zones.evacuated

    def check_invariants(self) -> None:
        """Assert the invariants of the state after each record."""
        self.table.check_invariants()
        for move in self.table.list_open_version_moves():
            version = (move.service, move.to_version)
            returned = self.versions.is_rolled_back(*version)
            assert not returned, f'{version} returned after it was rolled back'
        for zone_move in self.table.list_open_zone_moves():
            evacuates = zone_move.direction is ZoneDirection.OUT
            assert self.is_evacuated(zone_move.zone) is evacuates, (
                f'zone {zone_move.zone} does not match move {zone_move.id}'
            )

    def _request_zone_move(
        self, record: RequestZoneMove, position: LogPosition
    ) -> None:
        self.zones.check_move(record.zone, record.direction)
        reason = f'zone {record.zone} was asked {record.direction.value}'
        for move in self.table.list_open_zone_moves():
            if move.zone == record.zone:
                kind = VerdictKind.ROLLED_BACK
                verdict = Verdict(kind, reason, position.at_ms, record.request)
                self.table.close(move, verdict)
        self.zones.apply_move(record.zone, record.direction, position)
        self.table.add(
            ZoneMove(
                id=MoveId(record.request),
                zone=record.zone,
                direction=record.direction,
                offset=position.offset,
                asked_ms=position.at_ms,
            )
        )

    def _request_version_move(
        self, record: RequestVersionMove, position: LogPosition
    ) -> None:
        self._check_no_open_move(record.service)
        self.versions.check_move(record, position)
        move = VersionMove(
            id=MoveId(record.request),
            service=record.service,
            from_version=record.from_version,
            to_version=record.to_version,
            finish_by_ms=record.finish_by_ms,
            offset=position.offset,
            asked_ms=position.at_ms,
        )
        self.table.add(move)
        self.versions.record_start(move)

    def _check_no_open_move(self, service: ServiceName) -> None:
        for move in self.table.list_open_version_moves():
            if move.service == service:
                reason = f'{service} is in move {move.id} already'
                raise EbonystreamError(ErrorKind.MOVE_REJECTED, reason)

    def _close(
        self,
        record: RollBackMove | CloseMove,
        kind: VerdictKind,
        position: LogPosition,
    ) -> None:
        move = self.table.get_open(record.move)
        _check_verdict(move, record, kind)
        request = RequestId(record.request)
        self.table.close(
            move, Verdict(kind, record.reason, position.at_ms, request)
        )
        if isinstance(move, VersionMove):
            self.versions.record_end(move, kind)
        elif kind is VerdictKind.ROLLED_BACK:
            self.zones.apply_move(move.zone, ZoneDirection.BACK, position)


def _check_verdict(
    move: Move, record: RollBackMove | CloseMove, kind: VerdictKind
) -> None:
    if isinstance(move, VersionMove) or kind is VerdictKind.FINISHED:
        return
    if isinstance(record, CloseMove):
        reason = f'{move.id} moves a zone: only operators take it back'
        raise EbonystreamError(ErrorKind.MOVE_REJECTED, reason)
    if move.direction is ZoneDirection.BACK:
        reason = f'{move.id} brings a zone back: ask for the zone out'
        raise EbonystreamError(ErrorKind.MOVE_REJECTED, reason)
