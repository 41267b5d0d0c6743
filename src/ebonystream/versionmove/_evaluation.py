"""Evaluation of a new version against the old one, by their attempts."""

from ebonystream._ids import RouteName
from ebonystream.versionmove._counts import MoveCounts, RouteCounts

MIN_BAD_ATTEMPTS = 4
"""Bad attempts, on one route or in total, below which no version is rolled
back."""

MIN_BAD_SHARE = 0.14
"""Share of bad attempts below which no version is rolled back."""

MIN_BAD_SHARE_RATIO = 3
"""How many times the old version's share of bad attempts the new version must
reach to be rolled back."""

ALL_ROUTES = RouteName('')


def find_rollback_reason(counts: MoveCounts) -> str | None:
    """Return the reason to roll a new version back; None if there is none.

    Evaluates all routes together and each route alone.

    Args:
        counts: The counts of all hosts, by route.
    """
    total = RouteCounts(ALL_ROUTES)
    for route_counts in counts:
        total.add(route_counts)
    for group in (total, *counts):
        if _is_worse(group):
            return _describe(group)
    return None


def _is_worse(counts: RouteCounts) -> bool:
    if counts.new_bad < MIN_BAD_ATTEMPTS:
        return False
    share = counts.new_bad / counts.new
    old_share = counts.old_bad / counts.old if counts.old else 0
    return share >= max(MIN_BAD_SHARE, MIN_BAD_SHARE_RATIO * old_share)


def _describe(counts: RouteCounts) -> str:
    where = counts.route or 'all routes'
    new = f'{counts.new_bad} of {counts.new} bad'
    return f'{where}: {new}, before {counts.old_bad} of {counts.old}'
