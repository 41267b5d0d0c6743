"""A sequential test of whether a new version does worse than the old one.

Each attempt of the new version is compared with a group of attempts of the
old one, made on the same route at about the same time. Where both versions do
equally well, each attempt of a group is as likely as any other to be its worst,
whatever the load. Bets on "the new one is the worst" multiply at those odds;
they begin again from 1 where they would fall below it, so that a late fault is
seen as soon as an early one. The mean number of groups until a false alarm is
at least `ALARM_GROUPS` for each route and criterion.
"""

import math

import attrs

BETS = (0.15, 0.4, 0.8)
"""Shares of a bet that are staked on "the new version is the worst"."""

ALARM_GROUPS = 1e6
"""Groups between false alarms on one route and criterion, at least."""

LATE_ALARM_GROUPS = 1e3
"""The same once the time to move is over."""

HOLD_GROUPS = 100
"""The same for evidence that makes the share small until it is settled."""

Gains = tuple[float, ...]
"""For each bet the logarithm of what it gained."""

NO_GAINS: Gains = (0,) * len(BETS)


def gain_bets(chance: float, *, hit: bool) -> Gains:
    """Tell what each bet gains by one group.

    Args:
        chance: How likely the new attempt is to be the worst, or among them,
            where both versions do equally well.
        hit: Whether it is.
    """
    if not 0 < chance < 1:
        return NO_GAINS
    odds = (1 - chance) / chance
    return tuple(math.log1p(bet * odds if hit else -bet) for bet in BETS)


def add_gains(left: Gains, right: Gains) -> Gains:
    """Give the sum of two gains."""
    return tuple(map(sum, zip(left, right, strict=True)))


@attrs.define
class SequentialTest:
    """The bets on one route and criterion.

    Attributes:
        stakes: The logarithm of what each bet has come to.
    """

    stakes: Gains = NO_GAINS

    def add(self, gains: Gains) -> None:
        """Take the gains of one or more groups in."""
        summed = add_gains(self.stakes, gains)
        self.stakes = tuple(max(0, stake) for stake in summed)

    @property
    def is_alarm(self) -> bool:
        """Whether the new version does worse beyond doubt."""
        return self._weigh() >= ALARM_GROUPS

    @property
    def is_late_alarm(self) -> bool:
        """Whether the new version does worse, now that time is over."""
        return self._weigh() >= LATE_ALARM_GROUPS

    @property
    def is_hold(self) -> bool:
        """Whether the new version may do worse."""
        return self._weigh() >= HOLD_GROUPS

    def _weigh(self) -> float:
        return sum(map(math.exp, self.stakes)) / len(BETS)
