"""Comparison of attempts at two versions on a route at about the same time."""

from collections import deque
from collections.abc import Sequence

import attrs

from ebonystream._ids import Seconds
from ebonystream.version._sequential import (
    ZERO_LOG_GAINS,
    LogGains,
    add_log_gains,
    compute_log_gains,
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
        duration: Duration of the attempt, in seconds; None if it must not be
            compared.
    """

    failed: bool
    duration: Seconds | None


@attrs.frozen
class Tally:
    """Sum of the comparisons of a number of groups with the new version.

    Attributes:
        groups: The number of groups.
        failure_gains: Log gains of the bets that it fails more often.
        latency_gains: Log gains of the bets that it is slower.
    """

    groups: int = 0
    failure_gains: LogGains = ZERO_LOG_GAINS
    latency_gains: LogGains = ZERO_LOG_GAINS

    def plus(self, other: 'Tally') -> 'Tally':
        """Return the sum of two tallies."""
        return Tally(
            self.groups + other.groups,
            add_log_gains(self.failure_gains, other.failure_gains),
            add_log_gains(self.latency_gains, other.latency_gains),
        )

    def minus(self, earlier: 'Tally') -> 'Tally':
        """Return what was added since an earlier tally."""
        return Tally(
            max(0, self.groups - earlier.groups),
            _subtract(self.failure_gains, earlier.failure_gains),
            _subtract(self.latency_gains, earlier.latency_gains),
        )


def _subtract(left: LogGains, right: LogGains) -> LogGains:
    return tuple(
        minuend - subtrahend
        for minuend, subtrahend in zip(left, right, strict=True)
    )


@attrs.define
class SamplePool:
    """Samples of the old version that have not been used in a comparison.

    Attributes:
        samples: The newest samples; each is used in one comparison only.
    """

    samples: deque[Sample] = attrs.field(
        factory=lambda: deque(maxlen=MAX_POOL_SAMPLES)
    )

    def add(self, sample: Sample) -> None:
        """Add a sample of the old version."""
        self.samples.append(sample)

    def compare(self, new: Sample) -> Tally | None:
        """Compare a sample of the new version with a group from the pool.

        Returns None if the pool is empty.

        Args:
            new: The sample of the new version.
        """
        if not self.samples:
            return None
        size = min(MAX_GROUP_SIZE, len(self.samples))
        return compare_with_group(
            [self.samples.pop() for _ in range(size)], new
        )


def compare_with_group(old: Sequence[Sample], new: Sample) -> Tally:
    """Compare a sample of the new version with a group of the old version.

    Args:
        old: The group of samples of the old version.
        new: The sample of the new version.
    """
    failed = sum(sample.failed for sample in old) + int(new.failed)
    return Tally(
        groups=1,
        failure_gains=compute_log_gains(
            failed / (len(old) + 1), hit=new.failed
        ),
        latency_gains=_compare_latency(old, new),
    )


def _compare_latency(old: Sequence[Sample], new: Sample) -> LogGains:
    durations = [
        sample.duration
        for sample in old
        if sample.duration is not None and not sample.failed
    ]
    if new.failed or new.duration is None or not durations:
        return ZERO_LOG_GAINS
    return compute_log_gains(
        1 / (len(durations) + 1), hit=new.duration > max(durations)
    )
