"""A request to be placed on a server."""

import attrs

from ebonystream._ids import Monotonic, Seconds, ServerId, ServiceName
from ebonystream.route import Route


@attrs.frozen(kw_only=True)
class Wanted:
    """A request to be placed on a server.

    Attributes:
        route: Route that the request matched.
        service: Service selected by the weights of the route.
        first: When the caller first sent the request; earlier than `arrived`
            for a retry after a refusal.
        arrived: When the request arrived on this host.
        until: Deadline, after which a response is of no use.
        draw: Random number from 0 to 1 that selects the version of the
            service.
        without: Servers excluded because they refused or failed the request.
    """

    route: Route
    service: ServiceName
    first: Monotonic
    arrived: Monotonic
    until: Monotonic
    draw: float
    without: frozenset[ServerId] = frozenset()

    def get_aim(self) -> Monotonic:
        """Return the time until which a response meets the objective."""
        return Monotonic(self.first + self.route.objective)

    def is_late_by(self, start: Monotonic, processing_time: Seconds) -> bool:
        """Return whether a request misses its objective if started at a time.

        Args:
            start: When processing starts.
            processing_time: Expected processing time, in seconds.
        """
        return start + processing_time > self.get_aim()
