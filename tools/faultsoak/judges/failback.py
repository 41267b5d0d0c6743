"""FAILBACK: how many requests in a second a cold server got."""

from collections.abc import Iterable, Sequence

import attrs

from ebonystream._ids import ServerId
from standins.pacedserver import Arrival

WINDOW_S = 1.0
"""Length of the sliding window, in seconds."""


@attrs.frozen(kw_only=True)
class ColdBound:
    """Bound on the requests that a cold server gets in a second.

    Attributes:
        rate: Requests per second that a cold server tolerates.
        overshoot: Factor of that rate.
        slack: Requests in addition.
    """

    rate: float
    overshoot: float
    slack: float

    def compute(self) -> float:
        """Compute the largest number of requests in a second."""
        return self.rate * self.overshoot + self.slack


@attrs.frozen(kw_only=True)
class Flood:
    """A second in which a cold server got more than the bound.

    Attributes:
        server: The server.
        at: Start of the second.
        count: Requests that it got.
    """

    server: ServerId
    at: float
    count: int


def find_floods(
    server: ServerId, arrivals: Iterable[Arrival], bound: ColdBound
) -> list[Flood]:
    """Find the seconds in which a cold server got more than the bound.

    Args:
        server: The server.
        arrivals: Arrivals of requests, in order of time.
        bound: The bound.
    """
    times = [arrival.at for arrival in arrivals if arrival.is_cold]
    counts = [(start, _count_within(times, start)) for start in times]
    return [
        Flood(server=server, at=start, count=count)
        for start, count in counts
        if count > bound.compute()
    ]


def _count_within(times: Sequence[float], start: float) -> int:
    return sum(start <= at < start + WINDOW_S for at in times)
