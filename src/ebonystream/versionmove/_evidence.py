"""Evidence about a new version, from the counts of all hosts."""

from collections.abc import Mapping

import attrs

from ebonystream._decay import decay
from ebonystream._ids import HostId, Monotonic, RouteName, Seconds
from ebonystream.versionmove._counts import MoveCounts, RouteCounts
from ebonystream.versionmove._detection import (
    AttemptBatch,
    FaultCriterion,
    FaultTest,
)

FAILED = FaultCriterion('failed', 0.004, (0.02, 0.05, 0.15, 0.5))
"""Failures reported by servers; good versions fail up to 0.4 % of requests."""

LOST = FaultCriterion(
    'lost', 0.04, (0.15, 0.35, 0.7), weight=1 / 3, unmatched_share=0.15
)
"""Attempts without a response or overdue.

A server of a good version that crashes loses all its requests at once, so that
three lost attempts count as one. Once all requests go to the new version, a
burst of requests cannot be told from a slow version.
"""

RECENT_HALF_LIFE = Seconds(1.5)
"""Half-life of the recent attempts at the old version, in seconds."""

PRIOR_ATTEMPTS = 100
"""Weight of the normal share of a criterion in the share of the old version, in
attempts."""

MAX_ROUTES = 256
"""Number of routes from which on further routes are judged only in total."""

ALL_ROUTES = RouteName('')


@attrs.define
class _BadShare:
    """Share of bad attempts at the old version, overall and recently."""

    attempts: float = 0
    bad: float = 0
    recent_attempts: float = 0
    recent_bad: float = 0
    recent_new: float = 0

    def add(self, attempts: int, bad: int, *, new: int, age: Seconds) -> None:
        """Add attempts, some time after the previous ones.

        The attempts at the new version are only counted.
        """
        self.recent_new = new + decay(
            self.recent_new, age, half_life=RECENT_HALF_LIFE
        )
        self.attempts += attempts
        self.bad += bad
        self.recent_attempts = attempts + decay(
            self.recent_attempts, age, half_life=RECENT_HALF_LIFE
        )
        self.recent_bad = bad + decay(
            self.recent_bad, age, half_life=RECENT_HALF_LIFE
        )

    def estimate(self, criterion: FaultCriterion) -> float:
        """Estimate the share that is normal now."""
        prior = criterion.normal_share * PRIOR_ATTEMPTS
        overall = (self.bad + prior) / (self.attempts + PRIOR_ATTEMPTS)
        recent = (self.recent_bad + prior) / (
            self.recent_attempts + PRIOR_ATTEMPTS
        )
        unmatched = self.recent_new / max(
            1, self.recent_new + self.recent_attempts
        )
        return max(
            criterion.normal_share,
            overall,
            recent,
            unmatched * criterion.unmatched_share,
        )


@attrs.define
class _GroupEvidence:
    """Evidence on one route, or on all routes together."""

    counts: RouteCounts
    tests: tuple[FaultTest, FaultTest] = attrs.field(
        factory=lambda: (FaultTest(FAILED), FaultTest(LOST))
    )
    old_shares: tuple[_BadShare, _BadShare] = attrs.field(
        factory=lambda: (_BadShare(), _BadShare())
    )

    def add(self, counts: RouteCounts, age: Seconds) -> None:
        """Add the attempts of all hosts since the previous evaluation."""
        self.counts.add(counts)
        new_bad = (counts.new_bad - counts.new_lost, counts.new_lost)
        old_bad = (counts.old_bad - counts.old_lost, counts.old_lost)
        for index, test in enumerate(self.tests):
            old_share = self.old_shares[index]
            old_share.add(counts.old, old_bad[index], new=counts.new, age=age)
            normal = old_share.estimate(test.criterion)
            test.add(AttemptBatch(counts.new, new_bad[index], normal))

    def describe(self) -> str:
        """Describe the evidence for the log."""
        worst = max(self.tests, key=lambda test: test.wealth)
        counts = self.counts
        where = counts.route or 'all routes'
        new = f'{counts.new_bad} of {counts.new} bad'
        old = f'before {counts.old_bad} of {counts.old}'
        what = f'{worst.criterion.name}, evidence {worst.wealth:.0f}'
        return f'{where}: {new}, {old} ({what})'


@attrs.define
class MoveEvidence:
    """The evidence of all hosts about a new version.

    The load that it addresses: 40 to 400 requests a second over 48 to 312
    hosts, of which each sees too few to judge a version.

    Attributes:
        expected: Attempts at the new version that its shares of the requests
            so far would have given.
        rejected: Number of counts of peers that contradict themselves.
    """

    expected: float = 0
    rejected: int = 0
    _seen: dict[tuple[HostId, RouteName], RouteCounts] = attrs.field(
        factory=dict
    )
    _groups: dict[RouteName, _GroupEvidence] = attrs.field(
        factory=lambda: {ALL_ROUTES: _GroupEvidence(RouteCounts(ALL_ROUTES))}
    )
    _updated_at: Monotonic | None = None

    @property
    def attempts(self) -> int:
        """Completed attempts at the new version, on all hosts."""
        return self._groups[ALL_ROUTES].counts.new

    @property
    def requests(self) -> int:
        """Completed attempts at both versions, on all hosts."""
        counts = self._groups[ALL_ROUTES].counts
        return counts.new + counts.old

    def update(
        self,
        counts_by_host: Mapping[HostId, MoveCounts],
        *,
        share: float,
        now: Monotonic,
    ) -> None:
        """Add what the hosts have counted since the previous update.

        Counts of a host that is lost remain.

        Args:
            counts_by_host: The counts of each host since the move began.
            share: The new version's current share of the requests.
            now: The current time.
        """
        previous = now if self._updated_at is None else self._updated_at
        age = Seconds(now - previous)
        self._updated_at = now
        changes = self._take_changes(counts_by_host)
        total = changes.pop(ALL_ROUTES)
        self.expected += share * (total.new + total.old)
        self._groups[ALL_ROUTES].add(total, age)
        for route, counts in changes.items():
            if route in self._groups or len(self._groups) <= MAX_ROUTES:
                group = self._groups.setdefault(
                    route, _GroupEvidence(RouteCounts(route))
                )
                group.add(counts, age)

    def get_wealth(self) -> float:
        """Return the strongest evidence against the new version."""
        return max(
            test.wealth
            for group in self._groups.values()
            for test in group.tests
        )

    def describe_worst(self) -> str:
        """Describe the group with the strongest evidence, for the log."""
        return max(
            self._groups.values(),
            key=lambda group: max(test.wealth for test in group.tests),
        ).describe()

    def _take_changes(
        self, counts_by_host: Mapping[HostId, MoveCounts]
    ) -> dict[RouteName, RouteCounts]:
        """Sum the changes of all hosts, by route and in total."""
        changes = {ALL_ROUTES: RouteCounts(ALL_ROUTES)}
        for host, counts in counts_by_host.items():
            for route_counts in counts:
                route = route_counts.route
                change = self._take_change(host, route_counts)
                changes.setdefault(route, RouteCounts(route)).add(change)
                if route != ALL_ROUTES:
                    changes[ALL_ROUTES].add(change)
        return changes

    def _take_change(self, host: HostId, counts: RouteCounts) -> RouteCounts:
        empty = RouteCounts(counts.route)
        earlier = self._seen.get((host, counts.route), empty)
        change = counts.subtract(earlier)
        if not change.is_consistent():
            self.rejected += 1
            return empty
        self._seen[host, counts.route] = attrs.evolve(counts)
        return change
