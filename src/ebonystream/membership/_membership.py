"""Rules of the membership: heartbeats to accept, and states of members."""

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
"""Lower than any sequence number: the peer has received no heartbeat."""

PAUSE_PERIODS = 2
"""Heartbeat periods without activity that mean that this host was paused."""


@attrs.define(kw_only=True)
class Membership:
    """Update the member table from the host list, heartbeats and silence.

    Attributes:
        table: Members.
        base_pace: Heartbeat timing with few peers.
        pace: Heartbeat timing with the current number of peers.
        heartbeats_per_second: Maximum rate of heartbeats to all peers together.
        sequence: Sequence number of the latest heartbeat to any peer.
        active_at: When this host last received a heartbeat or updated the
            state of a member.
        tombstones: Incarnations that are gone.
        ignored: Number of heartbeats that were ignored, by reason.
        watch: Notified when the members or their states change.
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
        """Start with the heartbeat timing for few peers."""
        self.pace = self.base_pace

    def replace_listed(
        self, listed: Iterable[ListedPeer], now: Monotonic
    ) -> None:
        """Update the members from the host list.

        A member that is no longer listed stays while its heartbeats arrive.

        Args:
            listed: All entries of the host list.
            now: Current time.
        """
        places = {entry.host: entry for entry in listed}
        places.pop(self.table.own.host, None)
        for host, member in self.table.peers.items():
            member.listed = host in places
        for host, place in places.items():
            peer = self.table.peers.setdefault(
                host, Member(place=place, known_since=now)
            )
            peer.place = place
        self._update_for_peers()

    def leave(self) -> None:
        """Announce to all peers at once that this host is shutting down."""
        self.table.leaving = True
        for member in self.table.peers.values():
            member.wake.notify()
        self.watch.notify()

    def make_heartbeat(
        self, member: Member, contents: HeartbeatContents, now: Monotonic
    ) -> Heartbeat:
        """Create the next heartbeat to a peer.

        Args:
            member: Peer that will receive the heartbeat.
            contents: State of the work of this host.
            now: Current time.
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
        """Process a heartbeat of a peer.

        Args:
            heartbeat: Heartbeat as it was received.
            now: Time of receipt.

        Returns:
            The heartbeat with its loads if its incarnation is confirmed;
            None otherwise.
        """
        self._restart_silences_after_pause(now)
        reason = self._accept(heartbeat, now)
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
        """Update the state of a member, and evict it if it is due.

        Args:
            member: Member to update.
            now: Current time.
        """
        self._restart_silences_after_pause(now)
        state = member.judge(now, self.pace)
        if state is not member.state:
            self._set_state(member, state)
        if member.is_forgotten(now, self.pace):
            self.table.peers.pop(member.place.host, None)
            self._update_for_peers()
        assert not member.is_any_of(self.tombstones), (
            'an incarnation that is gone was confirmed again'
        )

    def _set_state(self, member: Member, state: MemberState) -> None:
        member.state = state
        if state is MemberState.GONE:
            member.end_life(self.tombstones)
            self.table.index_lives()
        self.watch.notify()

    def _update_for_peers(self) -> None:
        self.pace = choose_pace(
            self.base_pace,
            peers=len(self.table.peers),
            heartbeats_per_second=self.heartbeats_per_second,
        )
        self.table.index_lives()
        self.watch.notify()

    def _accept(
        self, heartbeat: Heartbeat, now: Monotonic
    ) -> IgnoreReason | None:
        member = self.table.peers.get(heartbeat.host)
        if member is None:
            return IgnoreReason.UNLISTED
        host = self.table.find_host(heartbeat.incarnation)
        if host not in {None, heartbeat.host}:
            return IgnoreReason.TAKEN
        is_recipient = heartbeat.recipient == self.table.own.incarnation
        echo = heartbeat.heard if is_recipient else None
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

    def _restart_silences_after_pause(self, now: Monotonic) -> None:
        if now - self.active_at > PAUSE_PERIODS * self.pace.period:
            for member in self.table.peers.values():
                member.excuse(now)
        self.active_at = now
