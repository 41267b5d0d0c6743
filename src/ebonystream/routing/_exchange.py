"""Exchange of slots between entry hosts, and their assignment to calls."""

from collections.abc import Callable, Sequence
from random import Random

import attrs

from ebonystream._ids import (
    HostId,
    Monotonic,
    Seconds,
    ServerId,
    ServiceName,
    ZoneName,
)
from ebonystream._timers import MS_PER_SECOND, Timers
from ebonystream.backend import (
    BackendServer,
)
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.peer import SlotGrant, SlotRequest
from ebonystream.routing._choice import ChooseSlot, choose_slot_for_peer
from ebonystream.routing._peers import SlotPeer, select_peers
from ebonystream.routing._requests import PendingSlotRequest
from ebonystream.routing._service import (
    MAX_LEASE,
    MIN_REQUEST_DELAY,
    ServiceSlots,
)
from ebonystream.routing._shedding import ShedCalls
from ebonystream.routing._slots import Slot
from ebonystream.routing._waiting import Waiter

MAX_GRANT_DELAY = 0.25
"""Largest time from a request to the receipt of its grant, in seconds; a later
grant is dropped."""

MAX_LEASE_MS = MAX_LEASE * MS_PER_SECOND

LOOKAHEAD_CALLS = 8
"""Number of queued calls, from the most urgent one, that are tried in turn
until one of them may use a free slot."""


SendToPeer = Callable[[HostId, SlotRequest | SlotGrant], None]
"""Sends a message to a peer; it may be lost."""


@attrs.define
class ExchangeCounts:
    """Counters of the exchange.

    Attributes:
        requests_sent: Requests sent to peers.
        slots_granted: Slots granted to peers.
        slots_received: Slots received from peers.
        messages_dropped: Messages dropped as late, as invalid, or because
            their server is unknown.
    """

    requests_sent: int = 0
    slots_granted: int = 0
    slots_received: int = 0
    messages_dropped: int = 0


@attrs.define(kw_only=True)
class SlotExchange:
    """The slots that this host holds, and the calls that wait for them.

    Attributes:
        local_host: This host.
        timers: Source of the current time.
        choose_slot: Selects a slot for a call.
        shed_calls: Refuses calls that would wait too long.
        send: Sends a message to a peer.
        is_zone_out: Returns whether operators took a zone out of service.
        list_peers: Lists the reachable peers.
        find_server: Returns the server with an id; None if it is unknown.
        random: Random number generator, to select the peers of a request.
        by_service: State of each service.
        counts: Counters of the exchange.
    """

    local_host: SlotPeer
    timers: Timers
    choose_slot: ChooseSlot
    shed_calls: ShedCalls
    send: SendToPeer
    is_zone_out: Callable[[ZoneName], bool]
    list_peers: Callable[[], Sequence[SlotPeer]]
    find_server: Callable[[ServerId], BackendServer | None]
    random: Random
    by_service: dict[ServiceName, ServiceSlots] = attrs.field(factory=dict)
    counts: ExchangeCounts = attrs.field(factory=ExchangeCounts)

    def get_service_slots(self, service: ServiceName) -> ServiceSlots:
        """Return the state of a service, which is empty for a new service."""
        slots = self.by_service.get(service)
        if slots is None:
            slots = self.by_service.setdefault(service, ServiceSlots(service))
        return slots

    def assign_slots(self, service: ServiceName) -> None:
        """Assign free slots to calls and peers, the most urgent ones first.

        Calls that would still wait too long are refused.
        """
        slots = self.get_service_slots(service)
        now = self.timers.now()
        assigned = True
        while assigned:
            assigned = self._assign_next(slots, now)
        self.shed_calls(slots, now)
        if not slots.queue.waiters:
            slots.reset_request_delay()

    def release_slot(self, server: BackendServer) -> None:
        """Release the slot of a call that has ended, and assign it again."""
        self.get_service_slots(server.service).held.release(server)
        self.assign_slots(server.service)

    def request_slots(self, service: ServiceName) -> None:
        """Request slots from peers if calls wait and a request is due."""
        slots = self.get_service_slots(service)
        now = self.timers.now()
        if not slots.queue.waiters or now < slots.next_request_at:
            return
        include_remote = slots.request_delay > MIN_REQUEST_DELAY
        slots.back_off_requests(now)
        request = slots.make_request(self.local_host, now)
        for peer in select_peers(
            self.list_peers(),
            self.local_host.zone,
            include_remote=include_remote,
            random=self.random,
        ):
            self.counts.requests_sent += 1
            self.send(peer.host, request)

    def get_request_delay(self, service: ServiceName) -> Seconds:
        """Return the delay until the next request to peers, in seconds.

        It is at least `MIN_REQUEST_DELAY`, even if a request is due.
        """
        delay = (
            self.get_service_slots(service).next_request_at - self.timers.now()
        )
        return Seconds(max(MIN_REQUEST_DELAY, delay))

    def handle_request(self, request: SlotRequest) -> None:
        """Record a peer's request and assign free slots."""
        slots = self.get_service_slots(request.service)
        slots.peer_requests.record(request, self.timers.now())
        self.assign_slots(request.service)

    def handle_grant(self, grant: SlotGrant) -> None:
        """Add the slot that a peer granted, unless the grant is late."""
        server = self.find_server(grant.server)
        now = self.timers.now()
        requested_at = grant.asked_ms / MS_PER_SECOND
        is_in_time = 0 <= now - requested_at <= MAX_GRANT_DELAY
        if server is None or not is_in_time or grant.lease_ms > MAX_LEASE_MS:
            self.counts.messages_dropped += 1
            return
        slots = self.get_service_slots(server.service)
        slots.reset_request_delay()
        slot = Slot(
            server=server,
            number=grant.number,
            sequence=grant.sequence,
            overlap=grant.overlap,
            received_at=now,
            lease_end=Monotonic(requested_at + grant.lease_ms / MS_PER_SECOND),
        )
        self.counts.slots_received += slots.held.add(slot)
        self.assign_slots(server.service)

    def _assign_next(self, slots: ServiceSlots, now: Monotonic) -> bool:
        """Assign one slot or refuse one expired call; return whether it did."""
        request = slots.peer_requests.find_most_urgent(now)
        if request is None and not slots.queue.waiters:
            return False
        free = [
            slot
            for slot in slots.held.list_free(now)
            if not self.is_zone_out(slot.server.zone)
        ]
        if not free:
            return False
        for waiter in slots.queue.waiters[:LOOKAHEAD_CALLS]:
            peer_first = request is not None and request.is_more_urgent_than(
                waiter, now
            )
            if peer_first and self._grant_to_peer(slots, free, request):
                return True
            if self._assign_to_call(slots, free, waiter):
                return True
        return self._grant_to_peer(slots, free, request)

    def _assign_to_call(
        self, slots: ServiceSlots, free: list[Slot], waiter: Waiter
    ) -> bool:
        now = self.timers.now()
        if waiter.call.deadline <= now:
            slots.queue.remove(waiter)
            waiter.refuse(EbonystreamError(ErrorKind.DEADLINE_EXPIRED))
            return True
        choice = self.choose_slot(free, waiter, now)
        if choice is None:
            return False
        waiter.reason = choice.reason
        slots.assign(waiter, choice.slot, now)
        return True

    def _grant_to_peer(
        self,
        slots: ServiceSlots,
        free: list[Slot],
        request: PendingSlotRequest | None,
    ) -> bool:
        if request is None:
            return False
        slot = choose_slot_for_peer(free, request.zone, self.local_host.zone)
        if slot is None:
            return False
        self.counts.slots_granted += 1
        self.send(
            request.message.host, slots.grant(slot, request, self.timers.now())
        )
        return True
