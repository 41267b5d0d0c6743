"""Something that a host depends on, and whether it answers."""

import attrs

from ebonystream._ids import Monotonic
from ebonystream._timers import Timers
from ebonystream.decisionlog import EventLogger


@attrs.define
class Dependency:
    """Logs once that a dependency is lost, and once that it is back.

    Attributes:
        name: What it is.
        note: Writes the log.
        timers: Tells the time.
        lost_at: Since when it doesn't answer; None while it does.
    """

    name: str
    note: EventLogger
    timers: Timers
    lost_at: Monotonic | None = None

    def lose(self, why: str) -> None:
        """Note that it did not answer.

        Args:
            why: What happened instead.
        """
        if self.lost_at is None:
            self.lost_at = self.timers.now()
            self.note('dependency_lost', dependency=self.name, why=why)

    def regain(self) -> bool:
        """Note that it answered; tell whether it was lost before."""
        if self.lost_at is None:
            return False
        away = self.timers.now() - self.lost_at
        self.lost_at = None
        self.note('dependency_regained', dependency=self.name, away_s=away)
        return True
