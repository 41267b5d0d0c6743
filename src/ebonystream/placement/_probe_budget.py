"""This host's share of the probes that all hosts may send."""

import enum
import math
from collections.abc import Callable, Mapping
from types import MappingProxyType

import attrs

from ebonystream._ids import Monotonic, Seconds

BURST_TIME = Seconds(30)
"""Probes that were not sent are kept for this long, in seconds: the bound is
on a whole day, and a burst needs more probes than a calm time."""

INITIAL_TIME = Seconds(6)
"""Time in seconds for which a host has earned probes at its first search, as
hosts that start together after an outage meet many callers at once."""

DEMAND_TIME = Seconds(2)
"""Time constant of the average of the wanted probes, in seconds."""

LOW_TIME = Seconds(0.5)
"""Time to earn what is kept, in seconds, below which a search begins with few
probes."""

MAX_PROBES_WHEN_LOW = 3

UNLIMITED_RATE = 1_000_000.0

GetProbeRate = Callable[[], float]
"""Returns the number of probes per second that this host may send now."""


class ProbePurpose(enum.Enum):
    """What probes are sent for, the most valuable purpose first."""

    FIRST = 'first'
    """The first servers that a request asks."""

    WIDER = 'wider'
    """More servers, as the first ones have no capacity."""

    REPEATED = 'repeated'
    """Servers for a request that is queued, which may be offered one."""

    YIELDING = 'yielding'
    """More servers for a request that leaves free slots to more urgent
    ones."""


RESERVED_TIMES: Mapping[ProbePurpose, Seconds] = MappingProxyType(
    {
        ProbePurpose.FIRST: Seconds(0),
        ProbePurpose.WIDER: Seconds(0.25),
        ProbePurpose.REPEATED: LOW_TIME,
        ProbePurpose.YIELDING: Seconds(1.5),
    }
)
"""Time to earn what is left to more valuable purposes, in seconds."""


@attrs.define
class ProbeBudget:
    """Token bucket of probes.

    The rate follows the hosts and servers in sight, so that all hosts together
    stay within the bound without asking one another.

    Attributes:
        get_rate: Returns the current rate.
        tokens: Probes that may be sent now.
        updated_at: When tokens were last added; None before the first search,
            as the time without callers earns nothing.
        demand: Moving average of the probes per second that were wanted.
    """

    get_rate: GetProbeRate
    tokens: float = 0
    updated_at: Monotonic | None = None
    demand: float = 0

    def take(self, wanted: int, now: Monotonic, purpose: ProbePurpose) -> int:
        """Take probes from the budget and return how many were granted.

        Args:
            wanted: Number of servers that would be probed.
            now: Current time on the monotonic clock, in seconds.
            purpose: What they are probed for.
        """
        rate = self.get_rate()
        self._earn(rate, now)
        self.demand += wanted / DEMAND_TIME
        if purpose is ProbePurpose.FIRST and self.tokens < rate * LOW_TIME:
            wanted = min(wanted, MAX_PROBES_WHEN_LOW)
        available = int(self.tokens - rate * RESERVED_TIMES[purpose])
        granted = max(0, min(wanted, available))
        self.tokens -= granted
        return granted

    def estimate_demand(self, now: Monotonic) -> float:
        """Return the probes per second that this host has wanted lately.

        Args:
            now: Current time on the monotonic clock, in seconds.
        """
        if self.updated_at is None:
            return 0
        return self.demand * math.exp((self.updated_at - now) / DEMAND_TIME)

    def _earn(self, rate: float, now: Monotonic) -> None:
        earning_time = INITIAL_TIME
        if self.updated_at is not None:
            earning_time = Seconds(now - self.updated_at)
        earned = earning_time * rate
        self.tokens = min(rate * BURST_TIME, self.tokens + earned)
        self.demand = self.estimate_demand(now)
        self.updated_at = now


def make_unlimited_budget() -> ProbeBudget:
    """Make a budget that grants any number of probes."""
    return ProbeBudget(lambda: UNLIMITED_RATE)
