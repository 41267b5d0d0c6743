"""A sequential test of whether the attempts at a version have become bad.

It is Shiryaev's procedure (A. N. Shiryaev, "On Optimum Methods in Quickest
Detection Problems", 1963), a sequential probability ratio test whose fault may
begin at any attempt. The wealth of the test is the likelihood ratio of "the
share of bad attempts rose to one of the assumed shares at some attempt" to "it
is the normal share". While the version is normal, the wealth is a martingale
that begins at 1, so that it ever reaches a threshold with a probability of at
most one divided by the threshold, however often it is looked at.
"""

import math

import attrs

START_WEIGHT = 0.4
"""Prior probability that a fault is there from the first attempt."""

MEDIAN_START = 60
"""Number of attempts among which half of the faults that begin later do.

The chance that a fault begins at the next attempt falls with the attempts so
far, so that a fault late in a move with many requests is still expected.
"""

MAX_LOG_GAIN = 50
MAX_WEALTH = 1e12

MIN_SHARE_RATIO = 3
"""How many times the normal share an assumed bad share is at least."""

MAX_BAD_SHARE = 0.95


@attrs.frozen
class FaultCriterion:
    """What counts as normal, and which faults are assumed.

    Attributes:
        name: What the bad attempts did, for the log.
        normal_share: Share of bad attempts that is always normal.
        bad_shares: The assumed shares of bad attempts at a bad version.
        weight: Weight of each attempt as evidence; less than 1 where attempts
            are bad together, by one cause.
        unmatched_share: Share of bad attempts that is normal where all recent
            attempts are at the new version, so that no attempts at the old one
            show what the load does.
    """

    name: str
    normal_share: float
    bad_shares: tuple[float, ...]
    weight: float = 1
    unmatched_share: float = 0


@attrs.frozen
class AttemptBatch:
    """Attempts that are added to a test together.

    Attributes:
        attempts: The number of attempts.
        bad: Of these, the bad ones.
        normal_share: Share of bad attempts that is normal at this time.
    """

    attempts: int
    bad: int
    normal_share: float


@attrs.define
class FaultTest:
    """The test of one criterion on one group of attempts.

    Attributes:
        criterion: What counts as normal, and which faults are assumed.
    """

    criterion: FaultCriterion
    _ratios: tuple[float, ...] = attrs.Factory(
        lambda test: (START_WEIGHT,) * len(test.criterion.bad_shares),
        takes_self=True,
    )
    _attempts: int = 0

    @property
    def wealth(self) -> float:
        """The evidence for a fault; 1 without any attempts."""
        return sum(self._ratios) / len(self._ratios) + self._no_fault_yet

    def add(self, batch: AttemptBatch) -> None:
        """Add attempts.

        Args:
            batch: The attempts.
        """
        self._ratios = tuple(
            min(MAX_WEALTH, ratio * self._get_gain(batch, bad_share))
            for ratio, bad_share in zip(
                self._ratios, self.criterion.bad_shares, strict=True
            )
        )
        previous = self._no_fault_yet
        self._attempts += batch.attempts
        begun = previous - self._no_fault_yet
        self._ratios = tuple(ratio + begun for ratio in self._ratios)

    def _get_gain(self, batch: AttemptBatch, bad_share: float) -> float:
        log_gain = self.criterion.weight * _compute_log_gain(batch, bad_share)
        return math.exp(min(MAX_LOG_GAIN, log_gain))

    @property
    def _no_fault_yet(self) -> float:
        """Prior probability that a fault begins after the attempts so far."""
        later = 1 - START_WEIGHT
        return later * MEDIAN_START / (MEDIAN_START + self._attempts)


def _compute_log_gain(batch: AttemptBatch, bad_share: float) -> float:
    """Compute the log likelihood ratio of a bad share to the normal one."""
    normal = batch.normal_share
    bad = min(MAX_BAD_SHARE, max(bad_share, MIN_SHARE_RATIO * normal))
    if normal >= bad:
        return 0
    good_count = batch.attempts - batch.bad
    good_gain = math.log((1 - bad) / (1 - normal))
    return batch.bad * math.log(bad / normal) + good_count * good_gain
