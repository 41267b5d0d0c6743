"""Version moves: the traffic share of a new version, and the verdict on it."""

from ebonystream.versionmove._counts import (
    AttemptOutcome,
    MoveCounts,
    RouteCounts,
    sum_counts,
)
from ebonystream.versionmove._detection import (
    AttemptBatch,
    FaultCriterion,
    FaultTest,
)
from ebonystream.versionmove._evaluation import (
    ALARM_WEALTH,
    find_rollback_reason,
)
from ebonystream.versionmove._evidence import MoveEvidence
from ebonystream.versionmove._move import MoveVerdict, VersionMove
from ebonystream.versionmove._moves import VersionMoves
from ebonystream.versionmove._stages import (
    MIN_FINISH_PROGRESS,
    get_evidence_share,
    get_scheduled_share,
    limit_share,
)

__all__ = (
    'ALARM_WEALTH',
    'MIN_FINISH_PROGRESS',
    'AttemptBatch',
    'AttemptOutcome',
    'FaultCriterion',
    'FaultTest',
    'MoveCounts',
    'MoveEvidence',
    'MoveVerdict',
    'RouteCounts',
    'VersionMove',
    'VersionMoves',
    'sum_counts',
    'get_evidence_share',
    'get_scheduled_share',
    'find_rollback_reason',
    'limit_share',
)
