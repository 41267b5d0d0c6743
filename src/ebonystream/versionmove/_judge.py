"""Judging a new version by its attempts and the old version's."""

from ebonystream._ids import RouteName
from ebonystream.versionmove._counts import MoveCounts, RouteCounts

MIN_BAD = 4
"""Bad attempts on one route, or on all, before a version is called bad."""

MIN_BAD_SHARE = 0.14
"""The share of bad attempts below which no version is called bad."""

TIMES_WORSE = 3
"""How many times as often as the old version a bad one does badly."""

ALL_ROUTES = RouteName('')


def judge_version(counts: MoveCounts) -> str | None:
    """Tell why a new version is bad; None where it doesn't look bad.

    Args:
        counts: The attempts of all hosts.
    """
    whole = RouteCounts(ALL_ROUTES)
    for counted in counts:
        whole.add(counted)
    for group in (whole, *counts):
        if _is_bad(group):
            return _explain(group)
    return None


def _is_bad(counted: RouteCounts) -> bool:
    if counted.new_bad < MIN_BAD:
        return False
    share = counted.new_bad / counted.new
    usual = counted.old_bad / counted.old if counted.old else 0
    return share >= max(MIN_BAD_SHARE, TIMES_WORSE * usual)


def _explain(counted: RouteCounts) -> str:
    where = counted.route or 'all routes'
    new = f'{counted.new_bad} of {counted.new} bad'
    return f'{where}: {new}, before {counted.old_bad} of {counted.old}'
