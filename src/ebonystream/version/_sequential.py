"""A sequential test of whether a new version is worse than the old one.

It is a test by betting. Each attempt at the new version is compared with a
group of attempts at the old one, made on the same route at about the same time.
If both versions are equally good, each attempt is equally likely to be the
worst of its group, whatever the load. The test bets at these odds that the
attempt at the new version is the worst, and multiplies the wealth of the bets.
Wealth that would fall below 1 is reset to 1, so that a fault that begins late
is detected as quickly as an early one. The mean number of groups until a false
alarm is at least `ALARM_THRESHOLD` for each route and criterion.
"""

import math

import attrs

STAKED_FRACTIONS = (0.15, 0.4, 0.8)
"""Fractions of the wealth that are staked, one for each parallel bet."""

ALARM_THRESHOLD = 1e6
"""Mean wealth from which on there is an alarm.

It is also the least mean number of groups between two false alarms on one
route and criterion.
"""

LATE_ALARM_THRESHOLD = 1e3
"""The same once the time limit of the move has passed."""

HOLD_THRESHOLD = 100
"""Mean wealth from which on the new version's share is limited, until the
evidence is settled."""

LogGains = tuple[float, ...]
"""Natural logarithm of the factor by which the wealth of each bet grew."""

ZERO_LOG_GAINS: LogGains = (0,) * len(STAKED_FRACTIONS)


def compute_log_gains(chance: float, *, hit: bool) -> LogGains:
    """Compute the log gain of each bet on one group.

    Args:
        chance: Probability that the attempt at the new version is the worst,
            or one of the worst, if both versions are equally good.
        hit: Whether it is.
    """
    if not 0 < chance < 1:
        return ZERO_LOG_GAINS
    odds = (1 - chance) / chance
    return tuple(
        math.log1p(fraction * odds if hit else -fraction)
        for fraction in STAKED_FRACTIONS
    )


def add_log_gains(left: LogGains, right: LogGains) -> LogGains:
    """Return the sum of two sets of log gains."""
    return tuple(map(sum, zip(left, right, strict=True)))


@attrs.define
class SequentialTest:
    """A test on one route and criterion.

    Attributes:
        log_wealth: Natural logarithm of the wealth of each bet; at least 0.
    """

    log_wealth: LogGains = ZERO_LOG_GAINS

    def add(self, gains: LogGains) -> None:
        """Add the log gains of one or more groups."""
        sums = add_log_gains(self.log_wealth, gains)
        self.log_wealth = tuple(max(0, log_wealth) for log_wealth in sums)

    @property
    def is_alarm_reached(self) -> bool:
        """Whether the evidence suffices to stop the move at once."""
        return self._compute_mean_wealth() >= ALARM_THRESHOLD

    @property
    def is_late_alarm_reached(self) -> bool:
        """Whether the evidence suffices to stop the move at its time limit."""
        return self._compute_mean_wealth() >= LATE_ALARM_THRESHOLD

    @property
    def is_hold_reached(self) -> bool:
        """Whether the evidence suffices to limit the new version's share."""
        return self._compute_mean_wealth() >= HOLD_THRESHOLD

    def _compute_mean_wealth(self) -> float:
        return sum(map(math.exp, self.log_wealth)) / len(STAKED_FRACTIONS)
