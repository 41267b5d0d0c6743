"""What a request needs of a server."""

import attrs

from ebonystream._ids import Monotonic, ServerId, ServiceName
from ebonystream.route import Route


@attrs.frozen(kw_only=True)
class Wanted:
    """What a request needs.

    Attributes:
        route: Its route.
        service: The service that the route's weights gave it.
        arrived: When it came.
        until: When its answer is of no use any more.
        draw: Its draw between the versions of the service, from 0 to 1.
        without: Servers that have refused it or failed it.
    """

    route: Route
    service: ServiceName
    arrived: Monotonic
    until: Monotonic
    draw: float
    without: frozenset[ServerId] = frozenset()

    def get_aim(self) -> Monotonic:
        """Give until when an answer is on time."""
        return Monotonic(self.arrived + self.route.objective)
