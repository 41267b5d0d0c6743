"""Estimates of when a caller that retries made its first request."""

import attrs

from ebonystream._ids import Monotonic, RouteName, Seconds
from ebonystream.request import Request
from ebonystream.route import Route

MIN_FIRST_SHARE = 0.84
"""Smallest share of the longest timeout on the route that a first request has;
a request with less is a retry."""

MEAN_FIRST_SHARE = 0.92
"""Mean share of the longest timeout on the route that first requests have."""

LONGEST_TIMEOUT_DECAY = 0.998
"""Decay of the longest timeout at each request, so that one caller with a long
timeout does not make all other callers look like retries."""


@attrs.define
class FirstRequestEstimator:
    """Estimates when callers made their first request, by route.

    First requests on a route have about the same timeout; a retry after a
    refusal has less time left.

    Attributes:
        longest_timeouts: Longest time that a request had left on arrival, by
            route, in seconds; decays with each request.
    """

    longest_timeouts: dict[RouteName, Seconds] = attrs.field(factory=dict)

    def estimate_first_request(
        self, request: Request, route: Route
    ) -> Monotonic:
        """Estimate when the caller sent the request for the first time.

        Args:
            request: The request that has arrived now.
            route: The route that it matched.
        """
        if request.deadline is None:
            return request.arrived_at
        timeout = Seconds(request.deadline - request.arrived_at)
        decayed = (
            self.longest_timeouts.get(route.name, timeout)
            * LONGEST_TIMEOUT_DECAY
        )
        longest = Seconds(max(decayed, timeout))
        self.longest_timeouts[route.name] = longest
        if timeout >= longest * MIN_FIRST_SHARE:
            return request.arrived_at
        return Monotonic(request.deadline - longest * MEAN_FIRST_SHARE)
