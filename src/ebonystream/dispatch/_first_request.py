"""When a caller that came back after a refusal asked first."""

import attrs

from ebonystream._ids import Monotonic, RouteName, Seconds
from ebonystream.request import Request
from ebonystream.route import Route

MIN_FIRST_SHARE = 0.84
"""The least share of the longest time that callers of a route have at first;
who has less has asked before."""

MEAN_FIRST_SHARE = 0.92
"""The share of the longest time that callers have at first, on average."""

LONGEST_TIMEOUT_DECAY = 0.998
"""What is left of the longest time after each request, so that one caller with
much time doesn't make all others look as if they had come back."""


@attrs.define
class FirstRequestEstimator:
    """How long the callers of each route wait in all.

    Callers of a route have about the same time at first, and less of it when
    they come back.

    Attributes:
        longest_timeouts: The most time that a request had left, by route, in seconds.
    """

    longest_timeouts: dict[RouteName, Seconds] = attrs.field(factory=dict)

    def estimate_first_request(
        self, request: Request, route: Route
    ) -> Monotonic:
        """Find when a caller asked first for what it asks now.

        Args:
            request: The request.
            route: Its route.
        """
        if request.deadline is None:
            return request.arrived_at
        given = Seconds(request.deadline - request.arrived_at)
        faded = (
            self.longest_timeouts.get(route.name, given) * LONGEST_TIMEOUT_DECAY
        )
        longest = Seconds(max(faded, given))
        self.longest_timeouts[route.name] = longest
        if given >= longest * MIN_FIRST_SHARE:
            return request.arrived_at
        return Monotonic(request.deadline - longest * MEAN_FIRST_SHARE)
