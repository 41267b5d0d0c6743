"""Version moves: traffic shares, comparison of versions and verdicts."""

from ebonystream.version._evaluation import (
    evaluate_version_moves,
    list_due_verdicts,
)
from ebonystream.version._evidence import (
    EvidenceExchange,
    RouteEvidence,
    StoppedMove,
)
from ebonystream.version._explaining import explain_move
from ebonystream.version._groups import (
    Sample,
    SamplePool,
    Tally,
    compare_with_group,
)
from ebonystream.version._progress import MoveProgress, RouteProgress
from ebonystream.version._rules import (
    VersionRules,
    check_not_stopped,
    compute_version_draw,
    make_version_begin,
    make_version_gate,
    make_version_observer,
)
from ebonystream.version._sequential import (
    ALARM_THRESHOLD,
    HOLD_THRESHOLD,
    LATE_ALARM_THRESHOLD,
    STAKED_FRACTIONS,
    ZERO_LOG_GAINS,
    LogGains,
    SequentialTest,
    compute_log_gains,
)
from ebonystream.version._stages import (
    GROUPS_PER_STAGE,
    LAST_STAGE,
    STAGES,
    RouteStage,
    Stage,
)
from ebonystream.version._traffic import MovesView, VersionTraffic

__all__ = (
    'ALARM_THRESHOLD',
    'STAKED_FRACTIONS',
    'GROUPS_PER_STAGE',
    'HOLD_THRESHOLD',
    'LAST_STAGE',
    'LATE_ALARM_THRESHOLD',
    'ZERO_LOG_GAINS',
    'STAGES',
    'StoppedMove',
    'EvidenceExchange',
    'LogGains',
    'MoveProgress',
    'MovesView',
    'RouteEvidence',
    'RouteProgress',
    'RouteStage',
    'Sample',
    'SamplePool',
    'SequentialTest',
    'Stage',
    'Tally',
    'VersionRules',
    'VersionTraffic',
    'check_not_stopped',
    'compare_with_group',
    'compute_version_draw',
    'explain_move',
    'compute_log_gains',
    'evaluate_version_moves',
    'list_due_verdicts',
    'make_version_begin',
    'make_version_gate',
    'make_version_observer',
)
