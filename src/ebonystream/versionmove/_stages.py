"""How much of a service a new version gets as its move goes on."""

STAGES = (
    (0, 0.06),
    (0.34, 0.14),
    (0.46, 0.3),
    (0.56, 0.5),
    (0.8, 1),
)
"""From which part of its time on a move has which share of the requests."""

FINISH_FROM = 0.87
"""The part of its time after which a move may be reported as finished."""

ENOUGH_CAPACITY = 0.5
"""New servers for each other one with which the new version may get all."""


def get_share(part: float) -> float:
    """Give the share of a service's requests that the new version gets.

    Args:
        part: Which part of the move's time is over, from 0 to 1.
    """
    shares = [share for start, share in STAGES if part >= start]
    return shares[-1] if shares else 0


def limit_share(share: float, capacity: float) -> float:
    """Keep a share to what the new version's servers can carry.

    It answers a move whose new servers have crashed meanwhile: the report
    would stop all others at once.

    Args:
        share: The share that the move's time gives.
        capacity: Servers of the new version for each other one.
    """
    if capacity >= ENOUGH_CAPACITY:
        return share
    return min(share, capacity / (1 + capacity))
