"""Latency of a backend server, relative to the usual latency of the routes."""

import attrs

from ebonystream._ids import Monotonic, RouteName, Seconds

NEW_RESPONSE_WEIGHT = 0.4
"""Weight of the newest response in the ratio of a server."""

ROUTE_WEIGHT = 0.02
"""Weight of the newest response in the usual latency of its route."""

SLOW_RATIO = 3
"""A server above this ratio is slow and gets no calls for a while."""

FAILURE_RATIO = 10.0
"""A failed attempt counts like a response with this ratio."""

MAX_RATIO = 20.0
"""Upper bound on the ratio of a single response."""

MIN_USUAL_LATENCY = 1e-6
"""Lower bound on the first latency of a route, in seconds, so that its usual
latency is never 0."""

MIN_AVOID_DURATION = 0.05
"""How long a server gets no calls when it turns slow, in seconds."""

MAX_AVOID_DURATION = 2
"""Upper bound on the time without calls, in seconds."""


@attrs.define
class RelativeLatency:
    """How fast a server answers the calls of this host.

    A slow server gets no calls for a while. Then one call at a time tries it,
    and each slow trial doubles the next time without calls.

    Attributes:
        ratio: Moving average of its latency relative to the usual latency of
            the routes; 1 is usual.
        avoid_until: Until when it gets no calls.
        next_avoid_duration: Length of the next time without calls, in seconds.
    """

    ratio: float = 1
    avoid_until: Monotonic = Monotonic(0)
    next_avoid_duration: Seconds = Seconds(MIN_AVOID_DURATION)

    def record(self, ratio: float, now: Monotonic) -> None:
        """Record the end of one attempt.

        Args:
            ratio: Its duration relative to the usual latency of the route.
            now: When it ended.
        """
        capped = min(ratio, MAX_RATIO)
        self.ratio += NEW_RESPONSE_WEIGHT * (capped - self.ratio)
        if self.ratio <= SLOW_RATIO:
            self.next_avoid_duration = Seconds(MIN_AVOID_DURATION)
            return
        if now >= self.avoid_until:
            self.avoid_until = Monotonic(now + self.next_avoid_duration)
            self.next_avoid_duration = Seconds(
                min(MAX_AVOID_DURATION, 2 * self.next_avoid_duration)
            )

    def record_failure(self, now: Monotonic) -> None:
        """Record a failed attempt.

        Args:
            now: When it ended.
        """
        self.record(FAILURE_RATIO, now)

    def is_avoided(self, now: Monotonic) -> bool:
        """Return whether the server gets no calls for now."""
        return now < self.avoid_until

    def awaits_trial(self, cutoff: Monotonic) -> bool:
        """Return whether it is slow and is avoided beyond a given time.

        Args:
            cutoff: Latest end of the time without calls at which a call may
                try the server.
        """
        return self.is_slow() and self.avoid_until > cutoff

    def is_slow(self) -> bool:
        """Return whether the server was slow at its latest responses."""
        return self.ratio > SLOW_RATIO


@attrs.define
class UsualLatencies:
    """The usual latency of calls, by route.

    Attributes:
        by_route: Moving average of the latency of each route, in seconds.
    """

    by_route: dict[RouteName, Seconds] = attrs.field(factory=dict)

    def update(self, route: RouteName, duration: Seconds) -> float:
        """Update the usual latency and return the ratio of a call to it.

        Args:
            route: The route of the call.
            duration: Duration of its attempt, in seconds.
        """
        usual = self.by_route.setdefault(
            route, Seconds(max(duration, MIN_USUAL_LATENCY))
        )
        ratio = duration / usual
        weighted = ROUTE_WEIGHT * (min(ratio, MAX_RATIO) - 1)
        self.by_route[route] = Seconds(usual * (1 + weighted))
        return ratio

    def compute_ratio(self, route: RouteName, duration: Seconds) -> float:
        """Return the ratio of a call to the usual latency, without an update.

        Args:
            route: The route of the call; the ratio is 1 before its first
                response.
            duration: Duration of its attempt, in seconds.
        """
        return duration / self.by_route.get(
            route, max(duration, MIN_USUAL_LATENCY)
        )

    def get_usual(self, route: RouteName) -> Seconds:
        """Return the usual latency of a route, in seconds; 0 if unknown."""
        return self.by_route.get(route, Seconds(0))
