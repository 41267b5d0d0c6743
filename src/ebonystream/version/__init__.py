"""Version moves: traffic shares, comparison of versions and verdicts."""

from ebonystream.version._evidence import (
    Brake,
    EvidenceExchange,
    RouteEvidence,
)
from ebonystream.version._explaining import explain_move
from ebonystream.version._groups import Sample, SamplePool, Tally, compare
from ebonystream.version._judging import judge_version_moves, list_judgements
from ebonystream.version._progress import MoveProgress, RouteProgress
from ebonystream.version._rules import (
    VersionRules,
    check_version,
    draw,
    make_version_begin,
    make_version_gate,
    make_version_observer,
)
from ebonystream.version._sequential import (
    ALARM_GROUPS,
    BETS,
    HOLD_GROUPS,
    LATE_ALARM_GROUPS,
    NO_GAINS,
    Gains,
    SequentialTest,
    gain_bets,
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
    'ALARM_GROUPS',
    'BETS',
    'GROUPS_PER_STAGE',
    'HOLD_GROUPS',
    'LAST_STAGE',
    'LATE_ALARM_GROUPS',
    'NO_GAINS',
    'STAGES',
    'Brake',
    'EvidenceExchange',
    'Gains',
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
    'check_version',
    'compare',
    'draw',
    'explain_move',
    'gain_bets',
    'judge_version_moves',
    'list_judgements',
    'make_version_begin',
    'make_version_gate',
    'make_version_observer',
)
