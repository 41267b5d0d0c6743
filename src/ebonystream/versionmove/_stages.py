"""The traffic share of a new version in the course of its move."""

import math

import attrs


@attrs.frozen
class Stage:
    """A stage of a move.

    Attributes:
        min_progress: Elapsed share of the move's duration from which on the
            stage may begin.
        share: Share of the requests that the new version gets at most.
        min_attempts: Completed attempts at the new version, on all hosts, from
            which on the stage may begin.
        exposure_pace: Share of the exposure limit that may be used, as a
            multiple of the elapsed share of the duration.
    """

    min_progress: float
    share: float
    min_attempts: int
    exposure_pace: float


STAGES = (
    Stage(0, 0.06, 0, math.inf),
    Stage(0.1, 0.2, 10, 0.8),
    Stage(0.45, 0.35, 24, 1.6),
    Stage(0.8, 1, 50, math.inf),
)
"""The stages of a move, by progress.

The middle stages use most of the exposure limit, for evidence; the second of
them more, so that faults that begin late are found before the last stage.
"""

MIN_COMPLETED_SHARE = 0.5
"""Share of the attempts at the new version that its traffic share would give
which suffice if the service has too few requests for a stage.

Fewer mean that its servers do not respond.
"""

EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
"""A bad version may get this share of the requests of its service between the
order and the deadline, and this many requests in addition."""

MIN_PROGRESS = 0.01

MAX_PENDING_ATTEMPTS = 2
"""Attempts at the new version that need not have been completed."""

MAX_SHARE_ON_HOLD = 0.12
"""Upper bound on the new version's share while there is evidence against it."""

MIN_FINISH_PROGRESS = 0.87
"""Elapsed share of the duration from which a move may be finished."""

SUFFICIENT_CAPACITY_RATIO = 0.5
"""Servers of the new version per other server from which the traffic share is
not limited."""


def get_scheduled_share(progress: float) -> float:
    """Return the share of a service's requests that the new version gets.

    Args:
        progress: The elapsed share of the move's duration.
    """
    return _find_stage(progress).share if progress >= 0 else 0


def get_exposure_share(progress: float, requests: int) -> float:
    """Return the share at which a move keeps within its exposure limit.

    Args:
        progress: The elapsed share of the move's duration.
        requests: Completed attempts of the service so far, on all hosts.
    """
    total = requests / max(progress, MIN_PROGRESS)
    limit = EXPOSURE_SHARE + EXPOSURE_SLACK / max(1, total)
    return min(1, _find_stage(progress).exposure_pace * limit)


def _find_stage(progress: float) -> Stage:
    begun = [stage for stage in STAGES if progress >= stage.min_progress]
    return begun[-1] if begun else STAGES[0]


def get_evidence_share(attempts: int, expected: float) -> float:
    """Return the share up to which there are enough completed attempts.

    Args:
        attempts: Completed attempts at the new version, on all hosts.
        expected: Attempts that its traffic share so far would have given.
    """
    least_completed = MIN_COMPLETED_SHARE * expected - MAX_PENDING_ATTEMPTS
    return max(
        stage.share
        for stage in STAGES
        if attempts >= min(stage.min_attempts, least_completed)
    )


def limit_share(share: float, capacity_ratio: float) -> float:
    """Limit a share to the capacity of the new version's servers.

    New servers may have crashed during the move; a report that it is
    finished would still stop all servers of the old version at once.

    Args:
        share: The scheduled share.
        capacity_ratio: Servers of the new version per other server.
    """
    if capacity_ratio >= SUFFICIENT_CAPACITY_RATIO:
        return share
    return min(share, capacity_ratio / (1 + capacity_ratio))
