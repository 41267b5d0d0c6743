"""The exchange of slots between entry hosts: who uses which slot next."""

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
from ebonystream.peer import AskSlots, GrantSlot
from ebonystream.routing._asks import PeerAsk
from ebonystream.routing._choice import Choose, choose_gift
from ebonystream.routing._peers import SlotPeer, pick_peers
from ebonystream.routing._service import ASK_WAIT, LONGEST_LEASE, ServiceSlots
from ebonystream.routing._shedding import Shed
from ebonystream.routing._slots import Slot
from ebonystream.routing._waiting import Waiting

GRANT_LIFE = 0.25
"""A grant that comes later after its request is dropped, in seconds."""

LONGEST_LEASE_MS = LONGEST_LEASE * MS_PER_SECOND

LOOK_AHEAD = 8
"""How many calls are looked at where the first may use no free slot."""


SendToPeer = Callable[[HostId, AskSlots | GrantSlot], None]
"""Sends a message that may get lost."""


@attrs.define
class ExchangeCounts:
    """What the exchange did so far.

    Attributes:
        asked: Requests sent.
        given: Slots handed to peers.
        taken: Slots got from peers.
        dropped: Grants that came too late or named nothing known.
    """

    asked: int = 0
    given: int = 0
    taken: int = 0
    dropped: int = 0


@attrs.define(kw_only=True)
class SlotExchange:
    """The slots of this host, over all services.

    Attributes:
        me: This host.
        timers: Tells the time.
        choose: Picks a slot for a call.
        shed: Refuses calls that would wait too long.
        send: Sends a message to a peer.
        is_out: Tells whether operators took a zone out.
        list_peers: Gives the peers that can be reached.
        find_server: Gives the server of a name, if it is known.
        random: Picks the peers that are asked.
        by_service: The slots of each service.
        counts: What was done so far.
    """

    me: SlotPeer
    timers: Timers
    choose: Choose
    shed: Shed
    send: SendToPeer
    is_out: Callable[[ZoneName], bool]
    list_peers: Callable[[], Sequence[SlotPeer]]
    find_server: Callable[[ServerId], BackendServer | None]
    random: Random
    by_service: dict[ServiceName, ServiceSlots] = attrs.field(factory=dict)
    counts: ExchangeCounts = attrs.field(factory=ExchangeCounts)

    def get_service(self, service: ServiceName) -> ServiceSlots:
        """Give the slots of a service; none are held of a new one."""
        found = self.by_service.get(service)
        if found is None:
            found = self.by_service.setdefault(service, ServiceSlots(service))
        return found

    def settle(self, service: ServiceName) -> None:
        """Give free slots to whoever waits, the most urgent first."""
        slots = self.get_service(service)
        now = self.timers.now()
        serving = True
        while serving:
            serving = self._serve_next(slots, now)
        self.shed(slots, now)
        if not slots.line.waiting:
            slots.stop_asking()

    def end(self, server: BackendServer) -> None:
        """Give the slot of an ended call to whoever waits for it."""
        self.get_service(server.service).held.end(server)
        self.settle(server.service)

    def ask(self, service: ServiceName) -> None:
        """Ask peers for slots, where calls wait and it is time to."""
        slots = self.get_service(service)
        now = self.timers.now()
        if not slots.line.waiting or now < slots.ask_at:
            return
        spilling = slots.ask_wait > ASK_WAIT
        slots.delay_asking(now)
        ask = slots.make_ask(self.me, now)
        for peer in pick_peers(
            self.list_peers(),
            self.me.zone,
            spilling=spilling,
            random=self.random,
        ):
            self.counts.asked += 1
            self.send(peer.host, ask)

    def get_pause(self, service: ServiceName) -> Seconds:
        """Give how long to wait before peers are asked again, in seconds."""
        due = self.get_service(service).ask_at - self.timers.now()
        return Seconds(max(ASK_WAIT, due))

    def take_ask(self, ask: AskSlots) -> None:
        """Take a peer's request."""
        slots = self.get_service(ask.service)
        slots.asks.remember(ask, self.timers.now())
        self.settle(ask.service)

    def take_grant(self, grant: GrantSlot) -> None:
        """Take a slot over from a peer, unless the grant is late."""
        server = self.find_server(grant.server)
        now = self.timers.now()
        asked = grant.asked_ms / MS_PER_SECOND
        fresh = 0 <= now - asked <= GRANT_LIFE
        if server is None or not fresh or grant.lease_ms > LONGEST_LEASE_MS:
            self.counts.dropped += 1
            return
        slots = self.get_service(server.service)
        slots.stop_asking()
        slot = Slot(
            server=server,
            number=grant.number,
            sequence=grant.sequence,
            overlap=grant.overlap,
            since=now,
            until=Monotonic(asked + grant.lease_ms / MS_PER_SECOND),
        )
        self.counts.taken += slots.held.add(slot)
        self.settle(server.service)

    def _serve_next(self, slots: ServiceSlots, now: Monotonic) -> bool:
        ask = slots.asks.find_first(now)
        if ask is None and not slots.line.waiting:
            return False
        free = [
            slot
            for slot in slots.held.list_free(now)
            if not self.is_out(slot.server.zone)
        ]
        if not free:
            return False
        for waiting in slots.line.waiting[:LOOK_AHEAD]:
            first = ask is not None and ask.precedes(waiting, now)
            if first and self._give(slots, free, ask):
                return True
            if self._admit(slots, free, waiting):
                return True
        return self._give(slots, free, ask)

    def _admit(
        self, slots: ServiceSlots, free: list[Slot], waiting: Waiting
    ) -> bool:
        now = self.timers.now()
        if waiting.call.deadline <= now:
            slots.line.leave(waiting)
            waiting.refuse(EbonystreamError(ErrorKind.DEADLINE_EXPIRED))
            return True
        choice = self.choose(free, waiting, now)
        if choice is None:
            return False
        waiting.reason = choice.reason
        slots.admit(waiting, choice.slot, now)
        return True

    def _give(
        self, slots: ServiceSlots, free: list[Slot], ask: PeerAsk | None
    ) -> bool:
        if ask is None:
            return False
        slot = choose_gift(free, ask.zone, self.me.zone)
        if slot is None:
            return False
        self.counts.given += 1
        self.send(ask.ask.host, slots.give(slot, ask, self.timers.now()))
        return True
