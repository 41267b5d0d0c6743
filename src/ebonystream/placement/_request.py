"""A request to be placed on a server."""

import attrs

from ebonystream._ids import (
    Monotonic,
    Seconds,
    ServerId,
    ServiceName,
    WorkspaceName,
)
from ebonystream.route import Route


@attrs.frozen(kw_only=True)
class PlacementRequest:
    """A request to be placed on a server.

    Attributes:
        route: Route that the request matched.
        service: Service selected by the weights of the route.
        first_requested_at: When the caller first sent the request; earlier than
            `arrived_at` for a retry after a refusal.
        arrived_at: When the request arrived on this host.
        deadline: Deadline, after which a response is of no use.
        version_draw: Random number from 0 to 1 that selects the version of the
            service.
        excluded_servers: Servers excluded because they refused or failed the
            request.
        workspace: Workspace that the request belongs to; None without one.
        workspace_rank: Urgency in place of that of the route; None keeps that.
    """

    route: Route
    service: ServiceName
    first_requested_at: Monotonic
    arrived_at: Monotonic
    deadline: Monotonic
    version_draw: float
    excluded_servers: frozenset[ServerId] = frozenset()
    workspace: WorkspaceName | None = None
    workspace_rank: int | None = None

    def get_target_time(self) -> Monotonic:
        """Return the time until which a response meets the objective."""
        return Monotonic(self.first_requested_at + self.route.objective)

    def get_rank(self) -> int:
        """Return the urgency; 0 is the most urgent."""
        if self.workspace_rank is None:
            return self.route.rank
        return self.workspace_rank

    def is_late_if_started_at(
        self, start: Monotonic, processing_time: Seconds
    ) -> bool:
        """Return whether a request misses its objective if started at a time.

        Args:
            start: When processing starts.
            processing_time: Expected processing time, in seconds.
        """
        return start + processing_time > self.get_target_time()
