"""What a request needs of a server."""

import attrs

from ebonystream._ids import Monotonic, Seconds, ServerId, ServiceName
from ebonystream.route import Route


@attrs.frozen(kw_only=True)
class Wanted:
    """What a request needs.

    Attributes:
        route: Its route.
        service: The service that the route's weights gave it.
        first: When its caller asked first; earlier than `arrived` where it
            came back after a refusal.
        arrived: When it came.
        until: When its answer is of no use any more.
        draw: Its draw between the versions of the service, from 0 to 1.
        without: Servers that have refused it or failed it.
    """

    route: Route
    service: ServiceName
    first: Monotonic
    arrived: Monotonic
    until: Monotonic
    draw: float
    without: frozenset[ServerId] = frozenset()

    def get_aim(self) -> Monotonic:
        """Give until when an answer is on time."""
        return Monotonic(self.first + self.route.objective)

    def is_late_by(self, begin: Monotonic, work: Seconds) -> bool:
        """Tell whether work that begins at a time is done too late.

        Args:
            begin: When it begins.
            work: How long it takes, in seconds.
        """
        return begin + work > self.get_aim()
