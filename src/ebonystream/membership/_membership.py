"""The rules of the membership: who is believed, and how each member stands."""

from collections import Counter
from collections.abc import Iterable

import attrs

from ebonystream._ids import Monotonic
from ebonystream._notifier import ChangeNotifier
from ebonystream.membership._contents import HeartbeatContents
from ebonystream.membership._hearing import Hearing, hear
from ebonystream.membership._member import ListedPeer, Member
from ebonystream.membership._pace import Pace, choose_pace
from ebonystream.membership._state import IgnoreReason, MemberState
from ebonystream.membership._table import MemberTable
from ebonystream.membership._telling import complete, shorten
from ebonystream.membership._tombstones import Tombstones
from ebonystream.peer import Heartbeat

NO_ECHO = -1

PAUSE_PERIODS = 2
"""Periods without any tick after which this very host had been paused."""


@attrs.define(kw_only=True)
class Membership:
    """Takes the host list, heartbeats and silence into the member table.

    Attributes:
        table: The members.
        base_pace: The pace of heartbeats among few peers.
        pace: The pace among the peers there are now.
        heartbeats_per_second: The most that are sent to all peers together.
        sequence: The newest heartbeat that was sent to anyone.
        active_at: When this host last took a heartbeat or judged a member.
        tombstones: Incarnations that were seen as gone.
        ignored: Counts the heartbeats that were ignored, by their reason.
        watch: Wakes those who wait for a change of any state.
    """

    table: MemberTable
    base_pace: Pace
    heartbeats_per_second: int
    pace: Pace = attrs.field(init=False)
    sequence: int = 0
    active_at: Monotonic = Monotonic(0)
    tombstones: Tombstones = attrs.field(factory=Tombstones)
    ignored: Counter[IgnoreReason] = attrs.field(factory=Counter)
    watch: ChangeNotifier = attrs.field(factory=ChangeNotifier)

    def __attrs_post_init__(self) -> None:
        """Begin with the pace for no peers."""
        self.pace = self.base_pace

    def replace_listed(
        self, listed: Iterable[ListedPeer], now: Monotonic
    ) -> None:
        """Take over a reading of the host list.

        A member that the list no longer names stays while it is heard.

        Args:
            listed: Every entry host on the list.
            now: The time.
        """
        places = {one.host: one for one in listed}
        places.pop(self.table.own.host, None)
        for host, member in self.table.peers.items():
            member.listed = host in places
        for host, place in places.items():
            known = self.table.peers.setdefault(
                host, Member(place=place, known_since=now)
            )
            known.place = place
        self._note_peers()

    def leave(self) -> None:
        """Tell all peers at once that this host is stopping."""
        self.table.leaving = True
        for member in self.table.peers.values():
            member.wake.notify()
        self.watch.notify()

    def make_heartbeat(
        self, member: Member, contents: HeartbeatContents, now: Monotonic
    ) -> Heartbeat:
        """Make the next heartbeat to a peer.

        Args:
            member: The peer.
            contents: What this host tells of its work.
            now: The time.
        """
        self.sequence += 1
        member.sendings.add(self.sequence, now)
        heard = member.heard
        heartbeat = Heartbeat(
            host=self.table.own.host,
            incarnation=self.table.own.incarnation,
            zone=self.table.own.zone,
            sequence=self.sequence,
            leaving=self.table.leaving,
            control_next=contents.control_next,
            keys_next=contents.keys_next,
            recipient=None if heard is None else heard.incarnation,
            heard=None if heard is None else heard.sequence,
            loads=contents.loads,
            zones_in_flight=contents.zones_in_flight,
            brakes=contents.brakes,
            suspects=contents.suspects,
            standings=contents.standings,
            evidence=contents.evidence,
            wants=contents.wants,
            demands=contents.demands,
            revision=contents.revision,
            known=None if heard is None else heard.revision,
        )
        return shorten(heartbeat, heard)

    def take_heartbeat(
        self, heartbeat: Heartbeat, now: Monotonic
    ) -> Heartbeat | None:
        """Learn from a peer's heartbeat, and give it whole if it is believed.

        Args:
            heartbeat: What came; it is ignored where it can't be believed.
            now: The time.
        """
        self._excuse_after_pause(now)
        reason = self._hear(heartbeat, now)
        if reason is not None:
            self.ignored[reason] += 1
            return None
        member = self.table.peers[heartbeat.host]
        if not member.believes(heartbeat.incarnation):
            return None
        if heartbeat.incarnation not in self.table.hosts:
            self.table.index_lives()
        self.judge(member, now)
        return None if member.life is None else member.life.newest

    def judge(self, member: Member, now: Monotonic) -> None:
        """Bring the state of a member up to date.

        Args:
            member: The member.
            now: The time.
        """
        self._excuse_after_pause(now)
        state = member.judge(now, self.pace)
        if state is not member.state:
            self._change(member, state)
        if member.is_forgotten(now, self.pace):
            self.table.peers.pop(member.place.host, None)
            self._note_peers()
        assert not member.is_any_of(self.tombstones), (
            'an incarnation that was gone came back'
        )

    def _change(self, member: Member, state: MemberState) -> None:
        member.state = state
        if state is MemberState.GONE:
            member.end_life(self.tombstones)
            self.table.index_lives()
        self.watch.notify()

    def _note_peers(self) -> None:
        self.pace = choose_pace(
            self.base_pace,
            peers=len(self.table.peers),
            heartbeats_per_second=self.heartbeats_per_second,
        )
        self.table.index_lives()
        self.watch.notify()

    def _hear(
        self, heartbeat: Heartbeat, now: Monotonic
    ) -> IgnoreReason | None:
        member = self.table.peers.get(heartbeat.host)
        if member is None:
            return IgnoreReason.UNLISTED
        known = self.table.find_host(heartbeat.incarnation)
        if known not in {None, heartbeat.host}:
            return IgnoreReason.TAKEN
        own = heartbeat.recipient == self.table.own.incarnation
        echo = heartbeat.heard if own else None
        hearing = Hearing(
            echo=NO_ECHO if echo is None else echo,
            sent=self.sequence,
            now=now,
            tombstones=self.tombstones,
        )
        whole = complete(heartbeat, member.heard)
        if whole is None:
            return IgnoreReason.UNKNOWN_LOADS
        return hear(member, whole, hearing)

    def _excuse_after_pause(self, now: Monotonic) -> None:
        if now - self.active_at > PAUSE_PERIODS * self.pace.period:
            for member in self.table.peers.values():
                member.excuse(now)
        self.active_at = now
