"""Version moves: the traffic share of a new version, and the verdict on it."""

from ebonystream.versionmove._counts import (
    MoveCounts,
    RouteCounts,
    sum_counts,
)
from ebonystream.versionmove._evaluation import find_rollback_reason
from ebonystream.versionmove._move import MoveVerdict, VersionMove
from ebonystream.versionmove._moves import VersionMoves
from ebonystream.versionmove._stages import (
    MIN_FINISH_PROGRESS,
    get_scheduled_share,
    limit_share,
)

__all__ = (
    'MIN_FINISH_PROGRESS',
    'MoveCounts',
    'MoveVerdict',
    'RouteCounts',
    'VersionMove',
    'VersionMoves',
    'sum_counts',
    'get_scheduled_share',
    'find_rollback_reason',
    'limit_share',
)
