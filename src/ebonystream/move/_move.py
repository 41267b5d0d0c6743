"""Moves, which all hosts compute from the records of the control stream."""

import msgspec

from ebonystream._ids import (
    EpochMs,
    MoveId,
    Offset,
    RequestId,
    ServiceName,
    VersionName,
    ZoneName,
)
from ebonystream.move._records import VerdictKind, ZoneDirection


class Verdict(msgspec.Struct, frozen=True):
    """The final result of a move.

    Attributes:
        kind: Whether the move was finished or rolled back.
        reason: Why, for the report.
        at_ms: When the log accepted the verdict, by the log's clock.
        request: The id of the record with the verdict.
    """

    kind: VerdictKind
    reason: str
    at_ms: EpochMs
    request: RequestId


class ZoneMove(msgspec.Struct, tag='zone', frozen=True):
    """The evacuation of a zone, or its return to use.

    Attributes:
        id: The id of the move.
        zone: The zone.
        direction: Whether the zone is evacuated or returns.
        offset: Offset of the record that requested the move.
        asked_ms: When the log accepted that record.
        verdict: The final result; None while the move is open.
    """

    id: MoveId
    zone: ZoneName
    direction: ZoneDirection
    offset: Offset
    asked_ms: EpochMs
    verdict: Verdict | None = None

    def is_evacuation(self) -> bool:
        """Return whether the move evacuates the zone."""
        return self.direction is ZoneDirection.OUT


class VersionMove(msgspec.Struct, tag='version', frozen=True):
    """A move of the calls of a service from one version to another.

    Attributes:
        id: The id of the move.
        service: The service.
        from_version: The old version.
        to_version: The new version.
        finish_by_ms: Time limit of the move.
        offset: Offset of the record that requested the move.
        asked_ms: When the log accepted that record.
        verdict: The final result; None while the move is open.
    """

    id: MoveId
    service: ServiceName
    from_version: VersionName
    to_version: VersionName
    finish_by_ms: EpochMs
    offset: Offset
    asked_ms: EpochMs
    verdict: Verdict | None = None


Move = ZoneMove | VersionMove
"""A move of either kind."""


class ZoneReturn(msgspec.Struct, frozen=True):
    """The latest return of a zone to use.

    Attributes:
        zone: The zone.
        offset: Offset of the record that returned it.
        at_ms: When the log accepted that record.
    """

    zone: ZoneName
    offset: Offset
    at_ms: EpochMs


class SettledVersion(msgspec.Struct, frozen=True):
    """A service and one of its versions.

    Attributes:
        service: The service.
        version: The version.
    """

    service: ServiceName
    version: VersionName


class MovesState(msgspec.Struct, frozen=True):
    """The state of all moves at one offset, for checkpoints and snapshots.

    Attributes:
        moves: Open moves and the latest closed ones, in the order of their
            requests.
        out: Evacuated zones, sorted.
        returns: The latest return of each zone, sorted by zone.
        settled: The settled version of each service, sorted by service.
        taken_back: Versions that were rolled back, sorted; they may never
            receive calls again.
    """

    moves: tuple[Move, ...] = ()
    out: tuple[ZoneName, ...] = ()
    returns: tuple[ZoneReturn, ...] = ()
    settled: tuple[SettledVersion, ...] = ()
    taken_back: tuple[SettledVersion, ...] = ()
