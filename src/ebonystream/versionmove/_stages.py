"""The traffic share of a new version in the course of its move."""

TRAFFIC_STAGES = (
    (0, 0.06),
    (0.34, 0.14),
    (0.46, 0.3),
    (0.56, 0.5),
    (0.8, 1),
)
"""Pairs of the elapsed share of a move's duration and the share of requests
that the new version gets from then on."""

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
    shares = [share for start, share in TRAFFIC_STAGES if progress >= start]
    return shares[-1] if shares else 0


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
