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
    """How a move ended.

    Attributes:
        kind: Finished or taken back.
        reason: Why.
        at_ms: When the log took the verdict, by the log's own clock.
        request: The record that brought it.
    """

    kind: VerdictKind
    reason: str
    at_ms: EpochMs
    request: RequestId


class ZoneMove(msgspec.Struct, tag='zone', frozen=True):
    """A zone on its way out or back.

    Attributes:
        id: The move's name.
        zone: The zone.
        direction: Which way it moves.
        offset: The record that asked for it.
        asked_ms: When the log took that record.
        verdict: How the move ended; None while it is open.
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
    """Traffic of a service on its way to another version.

    Attributes:
        id: The move's name.
        service: The service.
        from_version: The version that has the traffic.
        to_version: The version that gets it.
        finish_by_ms: When the move has to be finished.
        offset: The record that asked for it.
        asked_ms: When the log took that record.
        verdict: How the move ended; None while it is open.
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
