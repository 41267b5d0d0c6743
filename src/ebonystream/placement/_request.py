"""What a request needs of a server."""

import attrs

from ebonystream._ids import Monotonic, Seconds, ServerId, ServiceName
from ebonystream.route import Route


@attrs.frozen(kw_only=True)
class PlacementRequest:
    """What a request needs.

    Attributes:
        route: Its route.
        service: The service that the route's weights gave it.
        first_requested_at: When its caller asked first; earlier than `arrived_at` where it
            came back after a refusal.
        arrived_at: When it came.
        deadline: When its answer is of no use any more.
        version_draw: Its draw between the versions of the service, from 0 to 1.
        excluded_servers: Servers that have refused it or failed it.
    """

    route: Route
    service: ServiceName
    first_requested_at: Monotonic
    arrived_at: Monotonic
    deadline: Monotonic
    version_draw: float
    excluded_servers: frozenset[ServerId] = frozenset()

    def get_target_time(self) -> Monotonic:
        """Give until when an answer is on time."""
        return Monotonic(self.first_requested_at + self.route.objective)

    def is_late_if_started_at(self, begin: Monotonic, work: Seconds) -> bool:
        """Tell whether work that begins at a time is done too late.

        Args:
            begin: When it begins.
            work: How long it takes, in seconds.
        """
        return begin + work > self.get_target_time()
