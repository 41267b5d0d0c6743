"""Load and health that backend servers report."""

import attrs

from ebonystream._ids import Seconds, ServerId


@attrs.frozen(kw_only=True)
class LoadReport:
    """The load of a server at one moment.

    Attributes:
        running: Number of requests that it is handling.
        waiting: Number of requests in its queue.
        slots: Number of requests that it handles concurrently.
        pace: Current duration of requests relative to the usual one (1.0).
    """

    running: int
    waiting: int
    slots: int
    pace: float

    def with_one_completed(self) -> 'LoadReport':
        """Return the load after one of the running requests has completed."""
        if self.waiting:
            return attrs.evolve(self, waiting=self.waiting - 1)
        return attrs.evolve(self, running=max(0, self.running - 1))

    def has_free_slot(self) -> bool:
        """Return whether a request would start without queueing."""
        return self.running < self.slots and not self.waiting


@attrs.frozen(kw_only=True)
class ServerNotice:
    """What any response says about the server that sent it.

    Attributes:
        is_leaving: Whether the server is leaving.
        retry_after: For how long the server wants no requests from this host,
            in seconds; None if it does not refuse them.
    """

    is_leaving: bool = False
    retry_after: Seconds | None = None


@attrs.frozen(kw_only=True)
class HealthReport:
    """The response of a server to a health check.

    Attributes:
        healthy: Whether it reports that it accepts requests.
        server_id: Id of the server; None if not reported.
        cold_left: Remaining warm-up time, in seconds; None if not reported.
        load: Load of the server; None if not reported.
        notice: Whether the server is leaving or refuses requests.
    """

    healthy: bool
    server_id: ServerId | None
    cold_left: Seconds | None
    load: LoadReport | None
    notice: ServerNotice = ServerNotice()
