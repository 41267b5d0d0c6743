"""Comparison of attempts at two versions on one route, made at a like time."""

from collections import deque
from collections.abc import Sequence

import attrs

from ebonystream._ids import Seconds
from ebonystream.version._sequential import (
    NO_GAINS,
    Gains,
    add_gains,
    gain_bets,
)

MAX_POOL_SAMPLES = 18
"""Upper bound on the samples of the old version kept for comparison."""

MAX_GROUP_SIZE = 9
"""Upper bound on the samples of the old version in one group."""


@attrs.frozen
class Sample:
    """Result of one attempt at either version.

    Attributes:
        failed: Whether the attempt got no successful response.
        took: Duration of the attempt, in seconds; None if it must not be
            compared.
    """

    failed: bool
    took: Seconds | None


@attrs.frozen
class Tally:
    """Sum of the comparisons of a number of groups.

    Attributes:
        groups: The number of groups.
        failures: Log gains of the bets that the new version fails more often.
        latency: Log gains of the bets that the new version is slower.
    """

    groups: int = 0
    failures: Gains = NO_GAINS
    latency: Gains = NO_GAINS

    def plus(self, other: 'Tally') -> 'Tally':
        """Return the sum of two tallies."""
        return Tally(
            self.groups + other.groups,
            add_gains(self.failures, other.failures),
            add_gains(self.latency, other.latency),
        )

    def minus(self, earlier: 'Tally') -> 'Tally':
        """Return what was added since an earlier tally."""
        return Tally(
            max(0, self.groups - earlier.groups),
            _subtract(self.failures, earlier.failures),
            _subtract(self.latency, earlier.latency),
        )


def _subtract(left: Gains, right: Gains) -> Gains:
    return tuple(
        minuend - subtrahend
        for minuend, subtrahend in zip(left, right, strict=True)
    )


@attrs.define
class SamplePool:
    """Samples of the old version that no new one has been compared with.

    Attributes:
        waiting: The newest samples; each is used in one comparison only.
    """

    waiting: deque[Sample] = attrs.field(
        factory=lambda: deque(maxlen=MAX_POOL_SAMPLES)
    )

    def add_old(self, sample: Sample) -> None:
        """Add a sample of the old version."""
        self.waiting.append(sample)

    def match(self, new: Sample) -> Tally | None:
        """Compare a sample of the new version with a group from the pool.

        Returns None if the pool is empty.

        Args:
            new: The sample of the new version.
        """
        if not self.waiting:
            return None
        size = min(MAX_GROUP_SIZE, len(self.waiting))
        return compare([self.waiting.pop() for _ in range(size)], new)


def compare(old: Sequence[Sample], new: Sample) -> Tally:
    """Compare a sample of the new version with a group of the old version.

    Args:
        old: The group of samples of the old version.
        new: The sample of the new version.
    """
    failed = sum(sample.failed for sample in old) + int(new.failed)
    return Tally(
        groups=1,
        failures=gain_bets(failed / (len(old) + 1), hit=new.failed),
        latency=_compare_latency(old, new),
    )


def _compare_latency(old: Sequence[Sample], new: Sample) -> Gains:
    durations = [
        sample.took
        for sample in old
        if sample.took is not None and not sample.failed
    ]
    if new.failed or new.took is None or not durations:
        return NO_GAINS
    return gain_bets(1 / (len(durations) + 1), hit=new.took > max(durations))
