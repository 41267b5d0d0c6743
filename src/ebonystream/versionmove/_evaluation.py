"""Evaluation of a new version against the old one, by their attempts."""

from ebonystream._ids import HostId, Monotonic
from ebonystream.versionmove._counts import MoveCounts
from ebonystream.versionmove._evidence import MoveEvidence

ALARM_WEALTH = 150
"""Evidence from which on a version is rolled back.

A good version reaches it with a probability of at most 1 in 150 for each route
and criterion.
"""

LATE_ALARM_WEALTH = 20
"""The same once the planned duration of the move has passed."""

HOLD_WEALTH = 2.5
"""Evidence from which on the new version's share does not grow.

One failed attempt among the first ten reaches it.
"""

ALL_HOSTS = HostId('all hosts')


def find_fault(evidence: MoveEvidence, progress: float) -> str | None:
    """Return the reason to roll a new version back; None if there is none.

    Evaluates all routes together and each route alone.

    Args:
        evidence: The evidence of all hosts.
        progress: The elapsed share of the move's duration; may exceed 1.
    """
    threshold = ALARM_WEALTH if progress < 1 else LATE_ALARM_WEALTH
    if evidence.get_wealth() < threshold:
        return None
    return evidence.describe_worst()


def find_rollback_reason(counts: MoveCounts) -> str | None:
    """Return the reason to roll a new version back, from its counts alone.

    Args:
        counts: The counts of all hosts, by route.
    """
    evidence = MoveEvidence()
    evidence.update({ALL_HOSTS: counts}, share=0, now=Monotonic(0))
    return find_fault(evidence, 0)
