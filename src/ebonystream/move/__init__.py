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
from ebonystream.move._report import (
    ExplainMove,
    MoveReport,
    MoveState,
    make_report,
)
from ebonystream.move._returns import OnZoneBack, make_return_watch
from ebonystream.move._state import dump_moves, load_moves

__all__ = (
    'AskVersionMove',
    'AskZoneMove',
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
    'OnZoneBack',
    'RecordPlace',
    'TakeBack',
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
    'make_return_watch',
)
