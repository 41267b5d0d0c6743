"""How the two versions of a move did, route by route."""

from collections.abc import Iterable

import attrs

from ebonystream._ids import RouteName


@attrs.define
class RouteCounts:
    """Attempts on one route.

    Attributes:
        route: The route.
        new: Attempts at the new version that ended.
        new_bad: Of these, those that failed or took much too long.
        old: Attempts at the old version that ended.
        old_bad: Of these, those that failed or took much too long.
    """

    route: RouteName
    new: int = 0
    new_bad: int = 0
    old: int = 0
    old_bad: int = 0

    def count(self, *, new: bool, bad: bool) -> None:
        """Count an attempt.

        Args:
            new: Whether it was at the new version.
            bad: Whether it failed or took much too long.
        """
        if new:
            self.new += 1
            self.new_bad += bad
        else:
            self.old += 1
            self.old_bad += bad

    def add(self, other: 'RouteCounts') -> None:
        """Add what another host counted.

        Args:
            other: Its counts.
        """
        self.new += other.new
        self.new_bad += other.new_bad
        self.old += other.old
        self.old_bad += other.old_bad


MoveCounts = tuple[RouteCounts, ...]
"""The counts of a move, one for each route."""


def add_counts(all_counts: Iterable[MoveCounts]) -> MoveCounts:
    """Add the counts of several hosts.

    Args:
        all_counts: What each host counted.
    """
    sums: dict[RouteName, RouteCounts] = {}
    for counts in all_counts:
        for counted in counts:
            route = counted.route
            sums.setdefault(route, RouteCounts(route)).add(counted)
    return tuple(sums.values())
