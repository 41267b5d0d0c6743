"""Records of the control stream that ask for moves and end them."""

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

MAX_NAME = 128
MAX_REASON = 1024
MAX_EPOCH_MS = 9_007_199_254_740_992

Request = Annotated[RequestId, msgspec.Meta(min_length=1, max_length=MAX_NAME)]
Move = Annotated[MoveId, msgspec.Meta(min_length=1, max_length=MAX_NAME)]
Zone = Annotated[ZoneName, msgspec.Meta(min_length=1, max_length=MAX_NAME)]
Service = Annotated[
    ServiceName, msgspec.Meta(min_length=1, max_length=MAX_NAME)
]
Version = Annotated[
    VersionName, msgspec.Meta(min_length=1, max_length=MAX_NAME)
]
Reason = Annotated[str, msgspec.Meta(max_length=MAX_REASON)]
When = Annotated[EpochMs, msgspec.Meta(ge=0, le=MAX_EPOCH_MS)]


class ZoneDirection(enum.Enum):
    """Which way a zone moves."""

    OUT = 'out'
    """The zone gets no new work."""

    BACK = 'back'
    """The zone gets work again; its servers count as cold."""


class VerdictKind(enum.Enum):
    """How a move ended."""

    FINISHED = 'finished'
    TAKEN_BACK = 'taken_back'


class AskZoneMove(msgspec.Struct, tag='ask_zone_move', frozen=True):
    """Asks that a zone is taken out, or brought back.

    Attributes:
        request: Names this record; the move gets the same name.
        zone: The zone.
        direction: Which way it moves.
    """

    request: Request
    zone: Zone
    direction: ZoneDirection


class AskVersionMove(msgspec.Struct, tag='ask_version_move', frozen=True):
    """Asks that traffic of a service moves to another version.

    Attributes:
        request: Names this record; the move gets the same name.
        service: The service.
        from_version: The version that has the traffic.
        to_version: The version that gets it.
        finish_by_ms: When the move has to be finished.
    """

    request: Request
    service: Service
    from_version: Version
    to_version: Version
    finish_by_ms: When


class TakeBack(msgspec.Struct, tag='take_back', frozen=True):
    """An operator takes an open move back.

    Attributes:
        request: Names this record.
        move: The move.
        reason: Why, for the report.
    """

    request: Request
    move: Move
    reason: Reason


class CloseMove(msgspec.Struct, tag='close_move', frozen=True):
    """A host's verdict on an open move; the first one in the log counts.

    Attributes:
        request: Names this record.
        move: The move.
        verdict: How it ended.
        reason: Why, for the report.
    """

    request: Request
    move: Move
    verdict: VerdictKind
    reason: Reason


MoveRecord = AskZoneMove | AskVersionMove | TakeBack | CloseMove
"""The records that the move aggregate takes."""
