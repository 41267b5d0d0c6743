"""What a backend server says of its load and health when it is asked."""

import attrs

from ebonystream._ids import Seconds, ServerId


@attrs.frozen(kw_only=True)
class LoadReport:
    """A server's load at one moment.

    Attributes:
        running: Requests that it works on.
        waiting: Requests that wait there.
        slots: Requests that it works on at a time.
        pace: How long work takes there now, beside its usual time (1.0).
    """

    running: int
    waiting: int
    slots: int
    pace: float

    def with_one_completed(self) -> 'LoadReport':
        """Give the load once one of the running requests has ended."""
        if self.waiting:
            return attrs.evolve(self, waiting=self.waiting - 1)
        return attrs.evolve(self, running=max(0, self.running - 1))

    def has_free_slot(self) -> bool:
        """Tell whether a request would be begun at once."""
        return self.running < self.slots and not self.waiting


@attrs.frozen(kw_only=True)
class HealthReport:
    """What a server said when it was asked.

    Attributes:
        healthy: Whether it takes work, by its own word.
        server_id: Which server it is, where it says so.
        cold_left: How much longer it is cold, in seconds; None where untold.
        load: Its load; None where it tells none.
    """

    healthy: bool
    server_id: ServerId | None
    cold_left: Seconds | None
    load: LoadReport | None
