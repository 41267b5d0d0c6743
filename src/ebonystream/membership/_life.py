"""What is known of one incarnation of a peer."""

from collections import deque

import attrs

from ebonystream._ids import Incarnation, Monotonic
from ebonystream.peer import Heartbeat

KEPT_SENDINGS = 64
"""Heartbeats whose time of sending is remembered."""


@attrs.define
class Sendings:
    """The newest heartbeats that were sent to one peer.

    Attributes:
        times: The sequence of each and when it was sent, in that order.
    """

    times: deque[tuple[int, Monotonic]] = attrs.field(
        factory=lambda: deque(maxlen=KEPT_SENDINGS)
    )

    def add(self, sequence: int, now: Monotonic) -> None:
        """Remember a heartbeat that is sent now."""
        self.times.append((sequence, now))

    def find_time(self, sequence: int) -> Monotonic | None:
        """Tell when a heartbeat was sent; None where that is forgotten."""
        for sent, time in reversed(self.times):
            if sent == sequence:
                return time
        return None


@attrs.define
class Candidate:
    """An incarnation that was heard and has not proved that it is alive.

    Only a heartbeat that answers one sent after the candidate was first
    heard proves it: a late copy from an ended incarnation can't do that.

    Attributes:
        newest: The newest sequence that was heard from it.
        proof: The first own sequence that it has to echo.
        heard_at: When it was last heard.
    """

    newest: int
    proof: int
    heard_at: Monotonic


@attrs.define
class Life:
    """The incarnation of a peer that has proved that it is alive.

    Attributes:
        newest: Its newest heartbeat.
        heard_at: When that came.
        echoed_at: When the newest heartbeat that it heard was sent to it.
    """

    newest: Heartbeat
    heard_at: Monotonic
    echoed_at: Monotonic

    @property
    def incarnation(self) -> Incarnation:
        """Which incarnation it is."""
        return self.newest.incarnation

    def take(
        self, heartbeat: Heartbeat, now: Monotonic, echo: Monotonic | None
    ) -> None:
        """Take its next heartbeat.

        Args:
            heartbeat: The heartbeat.
            now: The time.
            echo: When the heartbeat that it heard last was sent, if known.
        """
        assert heartbeat.incarnation == self.incarnation, (
            'a heartbeat of another incarnation was taken'
        )
        assert heartbeat.sequence > self.newest.sequence, (
            'a heartbeat was taken twice, or out of order'
        )
        self.newest = heartbeat
        self.heard_at = now
        if echo is not None:
            self.echoed_at = max(self.echoed_at, echo)
