"""Groups of attempts of two versions on one route, made at about one time."""

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

WAITING_ATTEMPTS = 18
"""Attempts of the old version that wait to be compared with."""

GROUP_SIZE = 9
"""Attempts of the old version in one group at most."""


@attrs.frozen
class Sample:
    """How one attempt of either version went.

    Attributes:
        failed: Whether it brought no good answer.
        took: How long it took, in seconds; None where that tells nothing.
    """

    failed: bool
    took: Seconds | None


@attrs.frozen
class Tally:
    """What groups came to.

    Attributes:
        groups: How many there were.
        failures: What the bets on "fails more" gained.
        latency: What the bets on "is slower" gained.
    """

    groups: int = 0
    failures: Gains = NO_GAINS
    latency: Gains = NO_GAINS

    def plus(self, other: 'Tally') -> 'Tally':
        """Give the sum of two tallies."""
        return Tally(
            self.groups + other.groups,
            add_gains(self.failures, other.failures),
            add_gains(self.latency, other.latency),
        )

    def minus(self, earlier: 'Tally') -> 'Tally':
        """Give what was added since an earlier tally."""
        return Tally(
            max(0, self.groups - earlier.groups),
            _subtract(self.failures, earlier.failures),
            _subtract(self.latency, earlier.latency),
        )


def _subtract(left: Gains, right: Gains) -> Gains:
    return tuple(now - then for now, then in zip(left, right, strict=True))


@attrs.define
class SamplePool:
    """Attempts of the old version that wait to be compared with.

    Attributes:
        waiting: The newest of them; each is compared with once.
    """

    waiting: deque[Sample] = attrs.field(
        factory=lambda: deque(maxlen=WAITING_ATTEMPTS)
    )

    def add_old(self, sample: Sample) -> None:
        """Take an attempt of the old version in."""
        self.waiting.append(sample)

    def match(self, new: Sample) -> Tally | None:
        """Give what an attempt of the new version and its group come to.

        Args:
            new: The attempt; None comes back where nothing waits for it.
        """
        if not self.waiting:
            return None
        size = min(GROUP_SIZE, len(self.waiting))
        return compare([self.waiting.pop() for _ in range(size)], new)


def compare(old: Sequence[Sample], new: Sample) -> Tally:
    """Compare an attempt of the new version with a group of the old one's.

    Args:
        old: The group.
        new: The attempt.
    """
    failed = sum(sample.failed for sample in old) + int(new.failed)
    return Tally(
        groups=1,
        failures=gain_bets(failed / (len(old) + 1), hit=new.failed),
        latency=_compare_latency(old, new),
    )


def _compare_latency(old: Sequence[Sample], new: Sample) -> Gains:
    times = [
        sample.took
        for sample in old
        if sample.took is not None and not sample.failed
    ]
    if new.failed or new.took is None or not times:
        return NO_GAINS
    return gain_bets(1 / (len(times) + 1), hit=new.took > max(times))
