"""One service at this entry host: slots held, and who waits for one."""

import attrs

from ebonystream._ids import Monotonic, Seconds, ServiceName
from ebonystream._timers import MS_PER_SECOND
from ebonystream.peer import AskSlots, GrantSlot
from ebonystream.routing._asks import PeerAsk, PeerAsks
from ebonystream.routing._peers import SlotPeer
from ebonystream.routing._slots import HeldSlots, Slot
from ebonystream.routing._waiting import Waiting, WaitingLine

ASK_WAIT = 0.001
"""How long the first request for slots waits for its answer, in seconds."""

LONGEST_ASK_WAIT = 0.032

LONGEST_LEASE = 2
"""How long a slot may be used without news from its home, in seconds."""

MOST_WANTED = 1
"""The most slots that one request asks of one peer."""


@attrs.define
class ServiceSlots:
    """One service: the slots held, and who waits for one.

    Attributes:
        service: The service.
        held: The slots that this host holds.
        line: The calls of this host that wait.
        asks: What peers wait for.
        ask_at: When peers may be asked again.
        ask_wait: How long the next request waits, in seconds.
    """

    service: ServiceName
    held: HeldSlots = attrs.field(factory=HeldSlots)
    line: WaitingLine = attrs.field(factory=WaitingLine)
    asks: PeerAsks = attrs.field(factory=PeerAsks)
    ask_at: Monotonic = Monotonic(0)
    ask_wait: Seconds = Seconds(ASK_WAIT)

    def stop_asking(self) -> None:
        """Make the next wait start with a request at once."""
        self.ask_at = Monotonic(0)
        self.ask_wait = Seconds(ASK_WAIT)

    def delay_asking(self, now: Monotonic) -> None:
        """Note that peers were asked; each time in a row waits longer."""
        self.ask_at = Monotonic(now + self.ask_wait)
        self.ask_wait = Seconds(min(LONGEST_ASK_WAIT, 2 * self.ask_wait))

    def admit(self, waiting: Waiting, slot: Slot) -> None:
        """Give a free slot to a call that waits."""
        self.line.leave(waiting)
        self.held.begin(slot)
        waiting.admit(slot)

    def give(self, slot: Slot, ask: PeerAsk, now: Monotonic) -> GrantSlot:
        """Hand a free slot over to a peer, and make the message for it.

        Args:
            slot: The slot.
            ask: What the peer asked for.
            now: The time.
        """
        ask.granted += 1
        lease = Seconds(min(slot.until - now, LONGEST_LEASE))
        return self.hand_over(slot, lease, asked_ms=ask.ask.asked_ms)

    def hand_over(
        self, slot: Slot, lease: Seconds, *, asked_ms: float
    ) -> GrantSlot:
        """Give up a free slot, and make the message for its next holder.

        Args:
            slot: The slot.
            lease: How long it may be used from then on, in seconds.
            asked_ms: As in the request.
        """
        assert not slot.busy, f'the slot {slot.key} is given while in use'
        self.held.remove(slot)
        self.held.learn(slot.key, slot.sequence + 1)
        return GrantSlot(
            service=self.service,
            server=slot.server.id,
            number=slot.number,
            sequence=slot.sequence + 1,
            overlap=slot.overlap,
            asked_ms=asked_ms,
            lease_ms=lease * MS_PER_SECOND,
        )

    def make_ask(self, me: SlotPeer, now: Monotonic) -> AskSlots:
        """Make the request for the calls that wait.

        Args:
            me: This host.
            now: The time.
        """
        first = self.line.waiting[0]
        return AskSlots(
            host=me.host,
            zone=me.zone,
            service=self.service,
            wanted=min(MOST_WANTED, len(self.line.waiting)),
            rank=first.rank,
            waited_ms=(now - first.since) * MS_PER_SECOND,
            asked_ms=now * MS_PER_SECOND,
        )
