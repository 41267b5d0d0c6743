"""Results of the two versions of a move, by route."""

import enum
from collections.abc import Iterable

import attrs

from ebonystream._ids import RouteName


class AttemptOutcome(enum.Enum):
    """What an attempt tells about the version of its server."""

    GOOD = 'good'
    """The server responded in time and reported no failure."""

    FAILED = 'failed'
    """The server responded that the request failed."""

    LOST = 'lost'
    """The attempt had no response, or was overdue.

    Such attempts also occur in numbers at a good version: a server that
    crashes loses all its requests, and load delays many at once.
    """


@attrs.define
class RouteCounts:
    """Counts of attempts on one route, by version.

    Attributes:
        route: The name of the route.
        new: Completed attempts at the new version.
        new_bad: Of these, the attempts that failed or were lost.
        old: Completed attempts at the old version.
        old_bad: Of these, the attempts that failed or were lost.
        new_lost: Of the bad attempts at the new version, the lost ones.
        old_lost: Of the bad attempts at the old version, the lost ones.
    """

    route: RouteName
    new: int = 0
    new_bad: int = 0
    old: int = 0
    old_bad: int = 0
    new_lost: int = 0
    old_lost: int = 0

    def record_attempt(self, *, new: bool, outcome: AttemptOutcome) -> None:
        """Count an attempt.

        Args:
            new: Whether the attempt was at the new version.
            outcome: How the attempt ended.
        """
        bad = outcome is not AttemptOutcome.GOOD
        lost = outcome is AttemptOutcome.LOST
        if new:
            self.new += 1
            self.new_bad += bad
            self.new_lost += lost
        else:
            self.old += 1
            self.old_bad += bad
            self.old_lost += lost

    def add(self, other: 'RouteCounts') -> None:
        """Add the counts of another host or route.

        Args:
            other: The counts to add.
        """
        self.new += other.new
        self.new_bad += other.new_bad
        self.old += other.old
        self.old_bad += other.old_bad
        self.new_lost += other.new_lost
        self.old_lost += other.old_lost

    def subtract(self, earlier: 'RouteCounts') -> 'RouteCounts':
        """Return what was counted since earlier counts of the same host.

        A host that has restarted counts from 0 again.

        Args:
            earlier: The earlier counts.
        """
        if self.new < earlier.new or self.old < earlier.old:
            return attrs.evolve(self)
        return RouteCounts(
            self.route,
            new=self.new - earlier.new,
            new_bad=self.new_bad - earlier.new_bad,
            old=self.old - earlier.old,
            old_bad=self.old_bad - earlier.old_bad,
            new_lost=self.new_lost - earlier.new_lost,
            old_lost=self.old_lost - earlier.old_lost,
        )

    def is_consistent(self) -> bool:
        """Return whether the parts do not exceed their totals."""
        rises = (
            (0, self.new_lost, self.new_bad, self.new),
            (0, self.old_lost, self.old_bad, self.old),
        )
        return all(sorted(counts) == list(counts) for counts in rises)


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
