"""Records of the control stream that request and close moves."""

import enum
from typing import Annotated

import msgspec

from ebonystream._ids import (
    EpochMs,
    MoveId,
    RequestId,
    ServiceName,
    VersionName,
    ZoneName,
)

MAX_NAME_LENGTH = 128
MAX_REASON_LENGTH = 1024
MAX_EPOCH_MS = 9_007_199_254_740_992

Request = Annotated[
    RequestId, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)
]
Move = Annotated[MoveId, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Zone = Annotated[
    ZoneName, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)
]
Service = Annotated[
    ServiceName, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)
]
Version = Annotated[
    VersionName, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)
]
Reason = Annotated[str, msgspec.Meta(max_length=MAX_REASON_LENGTH)]
Timestamp = Annotated[EpochMs, msgspec.Meta(ge=0, le=MAX_EPOCH_MS)]


class ZoneDirection(enum.Enum):
    """Which way a zone moves."""

    OUT = 'out'
    """The zone is evacuated: it gets no new calls."""

    BACK = 'back'
    """The zone returns to use; its servers are treated as cold."""


class VerdictKind(enum.Enum):
    """How a move ended."""

    FINISHED = 'finished'
    ROLLED_BACK = 'taken_back'


class RequestZoneMove(msgspec.Struct, tag='ask_zone_move', frozen=True):
    """Request to evacuate a zone, or to return it to use.

    Attributes:
        request: The id of this record, which is also the id of the move.
        zone: The zone.
        direction: Whether the zone is evacuated or returns.
    """

    request: Request
    zone: Zone
    direction: ZoneDirection


class RequestVersionMove(msgspec.Struct, tag='ask_version_move', frozen=True):
    """Request to move the calls of a service to another version.

    Attributes:
        request: The id of this record, which is also the id of the move.
        service: The service.
        from_version: The old version.
        to_version: The new version.
        finish_by_ms: Time limit of the move.
    """

    request: Request
    service: Service
    from_version: Version
    to_version: Version
    finish_by_ms: Timestamp


class RollBackMove(msgspec.Struct, tag='take_back', frozen=True):
    """Request of an operator to roll an open move back.

    Attributes:
        request: The id of this record.
        move: The id of the move.
        reason: Why, for the report.
    """

    request: Request
    move: Move
    reason: Reason


class CloseMove(msgspec.Struct, tag='close_move', frozen=True):
    """Verdict of a host on an open move; the first one in the log prevails.

    Attributes:
        request: The id of this record.
        move: The id of the move.
        verdict: Whether the move is finished or rolled back.
        reason: Why, for the report.
    """

    request: Request
    move: Move
    verdict: VerdictKind
    reason: Reason


MoveRecord = RequestZoneMove | RequestVersionMove | RollBackMove | CloseMove
"""A record that requests or closes a move."""
