"""Requests for slots that this host has received from its peers."""

import attrs

from ebonystream._ids import HostId, Monotonic, Seconds, ZoneName
from ebonystream._timers import MS_PER_SECOND
from ebonystream.peer import SlotRequest
from ebonystream.routing._waiting import Waiter

REQUEST_TTL = 0.05
"""Time for which a peer's request stays open if not granted, in seconds."""

PEER_PRIORITY_MARGIN = 0.05
"""How much longer than a call of this host a peer's call of the same rank must
have waited to get a slot first, in seconds."""


@attrs.define
class PendingSlotRequest:
    """A peer's request for slots.

    Attributes:
        message: The message received.
        received_at: When it was received.
        granted_count: Number of slots granted for it.
    """

    message: SlotRequest
    received_at: Monotonic
    granted_count: int = 0

    @property
    def zone(self) -> ZoneName:
        """Availability zone of the peer."""
        return self.message.zone

    def is_open(self, now: Monotonic) -> bool:
        """Return whether the request is recent and not yet fully granted."""
        is_recent = now - self.received_at < REQUEST_TTL
        return is_recent and self.granted_count < self.message.wanted

    def get_wait_time(self, now: Monotonic) -> Seconds:
        """Return how long the peer's most urgent call has waited."""
        return Seconds(
            now - self.received_at + self.message.waited_ms / MS_PER_SECOND
        )

    def is_more_urgent_than(self, waiter: Waiter, now: Monotonic) -> bool:
        """Return whether the peer's call has precedence over a local one."""
        if self.message.rank != waiter.rank:
            return self.message.rank < waiter.rank
        return (
            self.get_wait_time(now)
            > now - waiter.queued_at + PEER_PRIORITY_MARGIN
        )


@attrs.define
class SlotRequests:
    """The newest request of each peer.

    Attributes:
        by_host: The requests, by the peer that sent them.
    """

    by_host: dict[HostId, PendingSlotRequest] = attrs.field(factory=dict)

    def record(self, message: SlotRequest, now: Monotonic) -> None:
        """Record a request, which replaces the peer's earlier one."""
        self.by_host[message.host] = PendingSlotRequest(message, now)

    def find_most_urgent(self, now: Monotonic) -> PendingSlotRequest | None:
        """Return the most urgent open request, and remove closed ones."""
        closed = [
            host
            for host, request in self.by_host.items()
            if not request.is_open(now)
        ]
        for host in closed:
            self.by_host.pop(host)
        if not self.by_host:
            return None
        return min(
            self.by_host.values(),
            key=lambda candidate: (
                candidate.message.rank,
                -candidate.get_wait_time(now),
            ),
        )
