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


def get_share(part: float) -> float:
    """Give the share of a service's requests that the new version gets.

    Args:
        part: Which part of the move's time is over, from 0 to 1.
    """
    shares = [share for start, share in STAGES if part >= start]
    return shares[-1] if shares else 0
