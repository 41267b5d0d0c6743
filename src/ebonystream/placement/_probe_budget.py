"""This host's share of the probes that all hosts may send."""

from collections.abc import Callable

import attrs

from ebonystream._ids import Monotonic, Seconds

BURST_TIME = Seconds(2)
"""Probes that were not sent are kept for this long, in seconds."""

RESERVED_SHARE = 0.5
"""Share of the burst that is kept for the first search of a request."""

GetProbeRate = Callable[[], float]
"""Returns the number of probes per second that this host may send now."""


@attrs.define
class ProbeBudget:
    """Token bucket of probes.

    The rate follows the hosts and servers in sight, so that all hosts together
    stay within the bound without asking one another.

    Attributes:
        get_rate: Returns the current rate.
        tokens: Probes that may be sent now.
        updated_at: When tokens were last added.
    """

    get_rate: GetProbeRate
    tokens: float = 0
    updated_at: Monotonic = Monotonic(float('-inf'))

    def take(self, wanted: int, now: Monotonic, *, reserve: bool) -> int:
        """Take probes from the budget and return how many were granted.

        Args:
            wanted: Number of servers that would be probed.
            now: Current time on the monotonic clock, in seconds.
            reserve: Whether to leave the reserve for more valuable probes.
        """
        rate = self.get_rate()
        burst = rate * BURST_TIME
        added = min(burst, (now - self.updated_at) * rate) if rate else 0
        self.tokens = min(burst, self.tokens + added)
        self.updated_at = now
        kept = burst * RESERVED_SHARE if reserve else 0
        granted = max(0, min(wanted, int(self.tokens - kept)))
        self.tokens -= granted
        return granted


def make_unlimited_budget() -> ProbeBudget:
    """Make a budget that grants any number of probes."""
    return ProbeBudget(lambda: UNLIMITED_RATE)


UNLIMITED_RATE = 1_000_000.0
