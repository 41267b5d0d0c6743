"""Latency of a backend server, relative to its own past."""

import statistics
from collections.abc import Iterable

import attrs

from ebonystream._ids import RouteName, Seconds
from ebonystream._timers import MS_PER_SECOND

PAST_WEIGHT = 0.02
"""Weight of one response in the past latency of a route."""

RECENT_WEIGHT = 0.25
"""Weight of one response in the recent slowdown."""

MIN_PAST_RESPONSES = 20
"""Responses of a route that make its past latency a basis for comparison."""

FAR_SLOWER_RATIO = 5.0
"""Slowdown that is far beyond the variation of a server's own past."""

COMMON_CAUSE_RATIO = 2.0
"""Median slowdown of a service's servers that points to a common cause."""

MAX_RESPONSE_RATIO = 12.0
"""Upper bound on the slowdown of one response, so that one alone is no
proof."""

MAX_PAST_RATIO = 2.0
"""Upper bound on the ratio with which one response changes the past latency."""

MIN_PAST_LATENCY = Seconds(5 / MS_PER_SECOND)
"""Lower bound on the past latency that responses are compared with: a pause of
this host itself is as long as many responses of a fast server."""


@attrs.define
class PastLatency:
    """Past latency of a server on one route.

    Attributes:
        mean: Moving average of the latency, in seconds.
        response_count: Number of responses.
    """

    mean: Seconds = Seconds(0)
    response_count: int = 0

    def add(self, latency: Seconds) -> None:
        """Add the latency of one response, in seconds."""
        self.response_count += 1
        weight = max(PAST_WEIGHT, 1 / self.response_count)
        if self.response_count > MIN_PAST_RESPONSES:
            latency = Seconds(min(latency, MAX_PAST_RATIO * self.mean))
        self.mean = Seconds(self.mean + weight * (latency - self.mean))


@attrs.define
class Slowdown:
    """How much slower a server is than in its own past.

    Attributes:
        ratio: Moving average of the recent latency, relative to the past
            latency of the same routes.
        routes: The past latency, by route.
    """

    ratio: float = 1.0
    routes: dict[RouteName, PastLatency] = attrs.field(factory=dict)

    def add(self, route: RouteName, latency: Seconds) -> None:
        """Add the latency of one response.

        Args:
            route: The route of the call.
            latency: The latency, in seconds.
        """
        past = self.routes.setdefault(route, PastLatency())
        if past.response_count >= MIN_PAST_RESPONSES:
            ratio = latency / max(past.mean, MIN_PAST_LATENCY)
            ratio = min(ratio, MAX_RESPONSE_RATIO)
            self.ratio += RECENT_WEIGHT * (ratio - self.ratio)
        if self.ratio < FAR_SLOWER_RATIO:
            past.add(latency)

    def reset(self) -> None:
        """Reset the slowdown, as a cold start accounts for it."""
        self.ratio = 1.0


def is_far_slower(own: Slowdown, others: Iterable[Slowdown]) -> bool:
    """Return whether a server alone is far slower than in its own past.

    If half of the servers of its service have slowed down as well, the cause
    is the load and not the server.

    Args:
        own: The slowdown of the server.
        others: The slowdown of each other server of its service.
    """
    if own.ratio < FAR_SLOWER_RATIO:
        return False
    ratios = [other.ratio for other in others]
    return not ratios or statistics.median(ratios) < COMMON_CAUSE_RATIO
