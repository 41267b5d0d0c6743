"""Moves, as all hosts fold them from the control stream."""

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

    def is_out(self) -> bool:
        """Tell whether the zone moves out."""
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
"""Any move."""


class ZoneReturn(msgspec.Struct, frozen=True):
    """The last time that a zone came back.

    Attributes:
        zone: The zone.
        offset: The record that brought it back.
        at_ms: When the log took that record.
    """

    zone: ZoneName
    offset: Offset
    at_ms: EpochMs


class SettledVersion(msgspec.Struct, frozen=True):
    """The version that a service's traffic stands at.

    Attributes:
        service: The service.
        version: The version.
    """

    service: ServiceName
    version: VersionName


class MovesState(msgspec.Struct, frozen=True):
    """All moves at one offset, as checkpoints and snapshots spell them.

    Attributes:
        moves: Open moves and the latest closed ones, in the order of asking.
        out: Zones that are out, sorted.
        returns: When zones came back last, sorted by zone.
        settled: Where services stand, sorted by service.
        taken_back: Versions that may never return, sorted.
    """

    moves: tuple[Move, ...] = ()
    out: tuple[ZoneName, ...] = ()
    returns: tuple[ZoneReturn, ...] = ()
    settled: tuple[SettledVersion, ...] = ()
    taken_back: tuple[SettledVersion, ...] = ()
