"""What a host's own calls show of a backend server, against its service."""

import attrs

from ebonystream._ids import Monotonic, RouteName, Seconds

NEW_ANSWER_WEIGHT = 0.4
"""How much the newest answer counts against all earlier ones."""

ROUTE_WEIGHT = 0.02
"""How much the newest answer counts for the usual time of its route."""

SLOW_RATIO = 3
"""A server this many times slower than usual rests."""

FAILURE_RATIO = 10.0
"""A failed attempt counts like an answer this many times slower than usual."""

RATIO_CAP = 20.0
"""The most that one answer counts, in usual times."""

SHORTEST = 1e-6
"""Keeps the usual time from being nothing, in seconds."""

FIRST_REST = 0.05
LONGEST_REST = 2
"""How long a slow server rests, in seconds."""


@attrs.define
class Evidence:
    """How fast a server answers the calls of this host.

    A server that is slow rests; after the rest one call at a time tries it,
    and each slow trial doubles the rest.

    Attributes:
        ratio: Its recent time against the usual time of the routes; 1 is
            usual.
        rests_until: When its rest ends.
        rest: How long the next rest is, in seconds.
    """

    ratio: float = 1
    rests_until: Monotonic = Monotonic(0)
    rest: Seconds = Seconds(FIRST_REST)

    def record(self, ratio: float, now: Monotonic) -> None:
        """Take the end of one attempt.

        Args:
            ratio: How long it took against the usual time.
            now: When it ended.
        """
        capped = min(ratio, RATIO_CAP)
        self.ratio += NEW_ANSWER_WEIGHT * (capped - self.ratio)
        if self.ratio <= SLOW_RATIO:
            self.rest = Seconds(FIRST_REST)
            return
        if now >= self.rests_until:
            self.rests_until = Monotonic(now + self.rest)
            self.rest = Seconds(min(LONGEST_REST, 2 * self.rest))

    def record_failure(self, now: Monotonic) -> None:
        """Take a failed attempt."""
        self.record(FAILURE_RATIO, now)

    def is_resting(self, now: Monotonic) -> bool:
        """Tell whether the server is left alone for now."""
        return now < self.rests_until

    def awaits_trial(self, since: Monotonic) -> bool:
        """Tell whether it is slow and its rest ended after a time.

        Args:
            since: The time.
        """
        return self.is_slow() and self.rests_until > since

    def is_slow(self) -> bool:
        """Tell whether the server was slow when it was last seen."""
        return self.ratio > SLOW_RATIO


@attrs.define
class UsualTimes:
    """How long calls usually take, for each route.

    Attributes:
        by_route: The usual time of each route, in seconds.
    """

    by_route: dict[RouteName, Seconds] = attrs.field(factory=dict)

    def compare(self, route: RouteName, took: Seconds) -> float:
        """Give a call's time against the usual one, and learn from it.

        Args:
            route: The route of the call.
            took: How long its attempt took, in seconds.
        """
        usual = self.by_route.setdefault(route, Seconds(max(took, SHORTEST)))
        ratio = took / usual
        weighted = ROUTE_WEIGHT * (min(ratio, RATIO_CAP) - 1)
        self.by_route[route] = Seconds(usual * (1 + weighted))
        return ratio

    def measure(self, route: RouteName, took: Seconds) -> float:
        """Give a call's time against the usual one; 1 before any answer.

        Args:
            route: The route of the call.
            took: How long its attempt took, in seconds.
        """
        return took / self.by_route.get(route, max(took, SHORTEST))

    def estimate(self, route: RouteName) -> Seconds:
        """Give the usual time of a route, in seconds; 0 before any answer."""
        return self.by_route.get(route, Seconds(0))
