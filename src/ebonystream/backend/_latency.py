"""A backend server's latency beside its own recent past."""

import statistics
from collections.abc import Iterable

import attrs

from ebonystream._ids import RouteName, Seconds
from ebonystream._timers import MS_PER_SECOND

PAST_WEIGHT = 0.02
"""Weight of one answer in the past of a route."""

RECENT_WEIGHT = 0.25
"""Weight of one answer in the recent slowdown."""

SETTLED_ANSWERS = 20
"""Answers of a route before its past is compared with."""

SLOW_RATIO = 5.0
"""A slowdown that is far beyond a server's own past."""

COMMON_RATIO = 2.0
"""A slowdown of half of a service's servers that has a common cause."""

LARGEST_TIMES = 12.0
"""One answer counts as no slower than this: one alone proves nothing."""

LARGEST_STEP = 2.0
"""One answer moves the past as if it were no slower than this."""

SHORTEST_PAST = Seconds(5 / MS_PER_SECOND)
"""A past below this is compared as if it were this long: a pause of this host
itself is as long as many answers of a fast server."""


@attrs.define
class RoutePast:
    """What answers of one route took.

    Attributes:
        mean: Their mean, in seconds, the newest weighing most.
        answers: How many there were.
    """

    mean: Seconds = Seconds(0)
    answers: int = 0

    def add(self, took: Seconds) -> None:
        """Take one answer into the mean."""
        self.answers += 1
        weight = max(PAST_WEIGHT, 1 / self.answers)
        if self.answers > SETTLED_ANSWERS:
            took = Seconds(min(took, LARGEST_STEP * self.mean))
        self.mean = Seconds(self.mean + weight * (took - self.mean))


@attrs.define
class Slowdown:
    """How much slower a server is now than it was.

    Attributes:
        ratio: Recent latency over the past of the same routes.
        routes: The past of each route.
    """

    ratio: float = 1.0
    routes: dict[RouteName, RoutePast] = attrs.field(factory=dict)

    def add(self, route: RouteName, took: Seconds) -> None:
        """Take one answer in.

        Args:
            route: The route that was answered.
            took: What the answer took, in seconds.
        """
        past = self.routes.setdefault(route, RoutePast())
        if past.answers >= SETTLED_ANSWERS:
            times = took / max(past.mean, SHORTEST_PAST)
            times = min(times, LARGEST_TIMES)
            self.ratio += RECENT_WEIGHT * (times - self.ratio)
        if self.ratio < SLOW_RATIO:
            past.add(took)

    def forget(self) -> None:
        """Forget the slowdown, as a cold start explains it."""
        self.ratio = 1.0


def is_far_slower(own: Slowdown, others: Iterable[Slowdown]) -> bool:
    """Tell whether a server alone is far slower than in its own past.

    Where half of its service slowed down as well, the load is the cause and
    not the server.

    Args:
        own: The server's slowdown.
        others: Those of the other servers of its service.
    """
    if own.ratio < SLOW_RATIO:
        return False
    ratios = [other.ratio for other in others]
    return not ratios or statistics.median(ratios) < COMMON_RATIO
