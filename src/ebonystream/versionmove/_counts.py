"""Results of the two versions of a move, by route."""

from collections.abc import Iterable

import attrs

from ebonystream._ids import RouteName


@attrs.define
class RouteCounts:
    """Counts of attempts on one route, by version.

    Attributes:
        route: The name of the route.
        new: Completed attempts at the new version.
        new_bad: Of these, the attempts that failed or were overdue.
        old: Completed attempts at the old version.
        old_bad: Of these, the attempts that failed or were overdue.
    """

    route: RouteName
    new: int = 0
    new_bad: int = 0
    old: int = 0
    old_bad: int = 0

    def record_attempt(self, *, new: bool, bad: bool) -> None:
        """Count an attempt.

        Args:
            new: Whether the attempt was at the new version.
            bad: Whether the attempt failed or was overdue.
        """
        if new:
            self.new += 1
            self.new_bad += bad
        else:
            self.old += 1
            self.old_bad += bad

    def add(self, other: 'RouteCounts') -> None:
        """Add the counts of another host or route.

        Args:
            other: The counts to add.
        """
        self.new += other.new
        self.new_bad += other.new_bad
        self.old += other.old
        self.old_bad += other.old_bad


MoveCounts = tuple[RouteCounts, ...]
"""The counts of a move, with an entry for each route."""


def sum_counts(counts_by_host: Iterable[MoveCounts]) -> MoveCounts:
    """Sum the counts of several hosts, by route.

    Args:
        counts_by_host: The counts of each host.
    """
    sums: dict[RouteName, RouteCounts] = {}
    for counts in counts_by_host:
        for route_counts in counts:
            route = route_counts.route
            sums.setdefault(route, RouteCounts(route)).add(route_counts)
    return tuple(sums.values())
