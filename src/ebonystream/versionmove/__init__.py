"""Version moves: the traffic share of a new version, and the verdict on it."""

from ebonystream.versionmove._counts import (
    MoveCounts,
    RouteCounts,
    add_counts,
)
from ebonystream.versionmove._judge import judge_version
from ebonystream.versionmove._move import MoveVerdict, VersionMove
from ebonystream.versionmove._moves import VersionMoves
from ebonystream.versionmove._stages import (
    FINISH_FROM,
    get_share,
    limit_share,
)

__all__ = (
    'FINISH_FROM',
    'MoveCounts',
    'MoveVerdict',
    'RouteCounts',
    'VersionMove',
    'VersionMoves',
    'add_counts',
    'get_share',
    'judge_version',
    'limit_share',
)
