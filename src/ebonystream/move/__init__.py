"""Moves: evacuation and return of zones, and version moves of services."""

from ebonystream.move._confirmation import (
    Confirmation,
    ListConfirmations,
    WaitingHost,
)
from ebonystream.move._finishing import EndMove, finish_zone_moves
from ebonystream.move._inflight import ZonesInFlight
from ebonystream.move._move import (
    Move,
    MovesState,
    Verdict,
    VersionMove,
    ZoneMove,
)
from ebonystream.move._moves import Moves
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
from ebonystream.move._report import (
    ExplainMove,
    MoveReport,
    MoveState,
    make_report,
)
from ebonystream.move._returns import OnZoneReturn, make_return_notifier
from ebonystream.move._state import dump_moves, load_moves

__all__ = (
    'RequestVersionMove',
    'RequestZoneMove',
    'CloseMove',
    'Confirmation',
    'EndMove',
    'ExplainMove',
    'ListConfirmations',
    'Move',
    'MoveRecord',
    'MoveReport',
    'MoveState',
    'Moves',
    'MovesState',
    'OnZoneReturn',
    'LogPosition',
    'RollBackMove',
    'Verdict',
    'VerdictKind',
    'VersionMove',
    'WaitingHost',
    'ZoneDirection',
    'ZoneMove',
    'ZonesInFlight',
    'dump_moves',
    'finish_zone_moves',
    'load_moves',
    'make_report',
    'make_return_notifier',
)
