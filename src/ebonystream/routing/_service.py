"""State of one service: the slots held, and the calls that wait for one."""

import attrs

from ebonystream._ids import Monotonic, Seconds, ServiceName
from ebonystream._timers import MS_PER_SECOND
from ebonystream.peer import SlotGrant, SlotRequest
from ebonystream.routing._peers import SlotPeer
from ebonystream.routing._requests import PendingSlotRequest, SlotRequests
from ebonystream.routing._slots import HeldSlots, Slot
from ebonystream.routing._waiting import Waiter, WaitQueue

MIN_REQUEST_DELAY = 0.001
"""Delay between the first request for slots and the second, in seconds."""

MAX_REQUEST_DELAY = 0.032
"""Upper bound on the delay between two requests, which doubles with each
request; in seconds."""

MAX_LEASE = 2
"""How long a slot may be used unless its home renews the lease, in seconds."""

MAX_SLOTS_PER_REQUEST = 1
"""Largest number of slots that one request asks each peer for."""


@attrs.define
class ServiceSlots:
    """State of one service: the slots held, and the calls that wait for one.

    Attributes:
        service: Name of the service.
        held: The slots that this host holds.
        queue: The calls of this host that wait.
        peer_requests: Requests for slots from peers.
        next_request_at: When peers may be sent the next request.
        request_delay: Delay between that request and the one after it, in
            seconds.
    """

    service: ServiceName
    held: HeldSlots = attrs.field(factory=HeldSlots)
    queue: WaitQueue = attrs.field(factory=WaitQueue)
    peer_requests: SlotRequests = attrs.field(factory=SlotRequests)
    next_request_at: Monotonic = Monotonic(0)
    request_delay: Seconds = Seconds(MIN_REQUEST_DELAY)

    def reset_request_delay(self) -> None:
        """Reset the delay, so that the next request is sent at once."""
        self.next_request_at = Monotonic(0)
        self.request_delay = Seconds(MIN_REQUEST_DELAY)

    def back_off_requests(self, now: Monotonic) -> None:
        """Delay the next request to peers, and double the delay after it."""
        self.next_request_at = Monotonic(now + self.request_delay)
        self.request_delay = Seconds(
            min(MAX_REQUEST_DELAY, 2 * self.request_delay)
        )

    def assign(self, waiter: Waiter, slot: Slot, now: Monotonic) -> None:
        """Assign a free slot to a waiting call."""
        self.queue.remove(waiter)
        self.held.acquire(slot)
        waiter.assign(slot, now)

    def grant(
        self, slot: Slot, request: PendingSlotRequest, now: Monotonic
    ) -> SlotGrant:
        """Remove a free slot and return the message that grants it to a peer.

        Args:
            slot: The slot.
            request: The peer's request.
            now: The current time.
        """
        request.granted_count += 1
        lease = Seconds(min(slot.lease_end - now, MAX_LEASE))
        return self.transfer(slot, lease, asked_ms=request.message.asked_ms)

    def transfer(
        self, slot: Slot, lease: Seconds, *, asked_ms: float
    ) -> SlotGrant:
        """Remove a free slot and return the message for its next holder.

        Args:
            slot: The slot.
            lease: How long it may be used after the request, in seconds.
            asked_ms: Time of the request, as in the request.
        """
        assert not slot.busy, f'slot {slot.key} is transferred while in use'
        self.held.remove(slot)
        self.held.record_sequence(slot.key, slot.sequence + 1)
        return SlotGrant(
            service=self.service,
            server=slot.server.id,
            number=slot.number,
            sequence=slot.sequence + 1,
            overlap=slot.overlap,
            asked_ms=asked_ms,
            lease_ms=lease * MS_PER_SECOND,
        )

    def make_request(self, local_host: SlotPeer, now: Monotonic) -> SlotRequest:
        """Build the request for slots for the waiting calls.

        Args:
            local_host: This host.
            now: The current time.
        """
        first = self.queue.waiters[0]
        return SlotRequest(
            host=local_host.host,
            zone=local_host.zone,
            service=self.service,
            wanted=min(MAX_SLOTS_PER_REQUEST, len(self.queue.waiters)),
            rank=first.rank,
            waited_ms=(now - first.queued_at) * MS_PER_SECOND,
            asked_ms=now * MS_PER_SECOND,
        )
