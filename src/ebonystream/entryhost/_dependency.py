"""Availability of a service that a host depends on."""

import attrs

from ebonystream._ids import Monotonic
from ebonystream._timers import Timers
from ebonystream.decisionlog import EventLogger


@attrs.define
class Dependency:
    """The availability of a dependency, logged once for each change.

    Attributes:
        name: The name of the dependency in the log.
        log_event: Writes a log line.
        timers: The source of the current time.
        lost_at: Time of the first failure since the last success; None while
            the dependency is available.
    """

    name: str
    log_event: EventLogger
    timers: Timers
    lost_at: Monotonic | None = None

    def record_failure(self, why: str) -> None:
        """Record that the dependency failed.

        Args:
            why: The failure, for the log.
        """
        if self.lost_at is None:
            self.lost_at = self.timers.now()
            self.log_event('dependency_lost', dependency=self.name, why=why)

    def record_success(self) -> bool:
        """Record that the dependency responded.

        Returns:
            Whether it was unavailable before.
        """
        if self.lost_at is None:
            return False
        lost_for = self.timers.now() - self.lost_at
        self.lost_at = None
        self.log_event(
            'dependency_regained', dependency=self.name, away_s=lost_for
        )
        return True
