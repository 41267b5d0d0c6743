"""Incarnations of a peer, and the heartbeats sent to it."""

from collections import deque

import attrs

from ebonystream._ids import Incarnation, Monotonic
from ebonystream.peer import Heartbeat

KEPT_SEND_TIMES = 64
"""Number of heartbeats whose send time is kept."""


@attrs.define
class SentHeartbeats:
    """Send times of the latest heartbeats to one peer.

    Attributes:
        send_times: Sequence number and send time of each heartbeat, the
            earliest first.
    """

    send_times: deque[tuple[int, Monotonic]] = attrs.field(
        factory=lambda: deque(maxlen=KEPT_SEND_TIMES)
    )

    def record(self, sequence: int, now: Monotonic) -> None:
        """Record the send time of a heartbeat."""
        self.send_times.append((sequence, now))

    def find_send_time(self, sequence: int) -> Monotonic | None:
        """Return the send time of a heartbeat; None if no longer kept."""
        for sent_sequence, sent_at in reversed(self.send_times):
            if sent_sequence == sequence:
                return sent_at
        return None


@attrs.define
class UnconfirmedIncarnation:
    """An incarnation whose heartbeats do not yet prove that it is alive.

    The proof is a heartbeat that echoes one sent after the first heartbeat of
    the incarnation was received. A delayed heartbeat of an incarnation that
    has ended can't echo such a heartbeat.

    Attributes:
        last_sequence: Highest sequence number received from it.
        required_echo: Lowest sequence number whose echo confirms the
            incarnation.
        received_at: Time of receipt of its latest heartbeat.
    """

    last_sequence: int
    required_echo: int
    received_at: Monotonic


@attrs.define
class ConfirmedIncarnation:
    """The incarnation of a peer that is confirmed to be alive.

    Attributes:
        last_heartbeat: Its latest heartbeat.
        received_at: Time of receipt of that heartbeat.
        echoed_at: Send time of the latest heartbeat that it has echoed.
    """

    last_heartbeat: Heartbeat
    received_at: Monotonic
    echoed_at: Monotonic

    @property
    def incarnation(self) -> Incarnation:
        """Identifier of the incarnation."""
        return self.last_heartbeat.incarnation

    def record_heartbeat(
        self, heartbeat: Heartbeat, now: Monotonic, echoed_at: Monotonic | None
    ) -> None:
        """Record the next heartbeat of the incarnation.

        Args:
            heartbeat: Heartbeat that was received.
            now: Time of receipt.
            echoed_at: Send time of the heartbeat that this one echoes; None
                if not known.
        """
        assert heartbeat.incarnation == self.incarnation, (
            'a heartbeat of another incarnation was recorded'
        )
        assert heartbeat.sequence > self.last_heartbeat.sequence, (
            'a heartbeat was recorded twice, or out of order'
        )
        self.last_heartbeat = heartbeat
        self.received_at = now
        if echoed_at is not None:
            self.echoed_at = max(self.echoed_at, echoed_at)
