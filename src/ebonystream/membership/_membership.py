"""Rules of the membership: heartbeats to accept, and states of members."""

from collections import Counter
from collections.abc import Iterable

import attrs

from ebonystream._ids import Monotonic
from ebonystream._notifier import ChangeNotifier
from ebonystream.membership._acceptance import (
    HeartbeatContext,
    accept_heartbeat,
)
from ebonystream.membership._contents import HeartbeatContents
from ebonystream.membership._member import ListedPeer, Member
from ebonystream.membership._revisions import omit_known_loads, restore_loads
from ebonystream.membership._state import IgnoreReason, MemberState
from ebonystream.membership._table import MemberTable
from ebonystream.membership._timing import HeartbeatTiming, scale_timing
from ebonystream.membership._tombstones import Tombstones
from ebonystream.peer import Heartbeat

NO_ECHO = -1
"""Lower than any sequence number: the peer has received no heartbeat."""

PAUSE_PERIODS = 2
"""Heartbeat periods without activity after which this host counts as paused.

The silence of its peers during a pause does not make them unreachable.
"""


@attrs.define(kw_only=True)
class Membership:
    """Update the member table from the host list, heartbeats and silence.

    Attributes:
        table: Members.
        base_timing: Heartbeat timing with few peers.
        timing: Heartbeat timing with the current number of peers.
        heartbeats_per_second: Maximum rate of heartbeats to all peers together.
        sequence: Sequence number of the latest heartbeat to any peer.
        last_active_at: When this host last received a heartbeat or updated the
            state of a member.
        tombstones: Incarnations that are gone.
        ignored_heartbeats: Number of heartbeats that were ignored, by reason.
        changed: Notified when the members or their states change.
    """

    table: MemberTable
    base_timing: HeartbeatTiming
    heartbeats_per_second: int
    timing: HeartbeatTiming = attrs.field(init=False)
    sequence: int = 0
    last_active_at: Monotonic = Monotonic(0)
    tombstones: Tombstones = attrs.field(factory=Tombstones)
    ignored_heartbeats: Counter[IgnoreReason] = attrs.field(factory=Counter)
    changed: ChangeNotifier = attrs.field(factory=ChangeNotifier)

    def __attrs_post_init__(self) -> None:
        """Start with the heartbeat timing for few peers."""
        self.timing = self.base_timing

    def apply_host_list(
        self, listed: Iterable[ListedPeer], now: Monotonic
    ) -> None:
        """Update the members from the host list.

        A member that is no longer listed stays while its heartbeats arrive.

        Args:
            listed: All entries of the host list.
            now: Current time.
        """
        entries = {listed_peer.host: listed_peer for listed_peer in listed}
        entries.pop(self.table.local.host, None)
        for host, member in self.table.peers.items():
            member.listed = host in entries
        for host, entry in entries.items():
            peer = self.table.peers.setdefault(
                host, Member(listing=entry, first_listed_at=now)
            )
            peer.listing = entry
        self._update_for_peers()

    def leave(self) -> None:
        """Announce to all peers at once that this host is shutting down."""
        self.table.leaving = True
        for member in self.table.peers.values():
            member.wake.notify()
        self.changed.notify()

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
        member.sent_heartbeats.record(self.sequence, now)
        last_heartbeat = member.last_heartbeat
        heartbeat = Heartbeat(
            host=self.table.local.host,
            incarnation=self.table.local.incarnation,
            zone=self.table.local.zone,
            sequence=self.sequence,
            leaving=self.table.leaving,
            control_next=contents.control_next,
            keys_next=contents.keys_next,
            recipient=None
            if last_heartbeat is None
            else last_heartbeat.incarnation,
            echo=None if last_heartbeat is None else last_heartbeat.sequence,
            loads=contents.loads,
            zones_in_flight=contents.zones_in_flight,
            brakes=contents.brakes,
            suspects=contents.suspects,
            standings=contents.standings,
            evidence=contents.evidence,
            wants=contents.wants,
            demands=contents.demands,
            revision=contents.revision,
            known_revision=None
            if last_heartbeat is None
            else last_heartbeat.revision,
        )
        return omit_known_loads(heartbeat, last_heartbeat)

    def receive_heartbeat(
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
            self.ignored_heartbeats[reason] += 1
            return None
        member = self.table.peers[heartbeat.host]
        if not member.is_confirmed(heartbeat.incarnation):
            return None
        if heartbeat.incarnation not in self.table.hosts_by_incarnation:
            self.table.index_incarnations()
        self.update_state(member, now)
        return (
            None
            if member.confirmed is None
            else member.confirmed.last_heartbeat
        )

    def update_state(self, member: Member, now: Monotonic) -> None:
        """Update the state of a member, and evict it if it is due.

        Args:
            member: Member to update.
            now: Current time.
        """
        self._restart_silences_after_pause(now)
        state = member.compute_state(now, self.timing)
        if state is not member.state:
            self._set_state(member, state)
        if member.is_evictable(now, self.timing):
            self.table.peers.pop(member.listing.host, None)
            self._update_for_peers()
        assert not member.has_tombstone(self.tombstones), (
            'an incarnation that is gone was confirmed again'
        )

    def _set_state(self, member: Member, state: MemberState) -> None:
        member.state = state
        if state is MemberState.GONE:
            member.mark_gone(self.tombstones)
            self.table.index_incarnations()
        self.changed.notify()

    def _update_for_peers(self) -> None:
        self.timing = scale_timing(
            self.base_timing,
            peers=len(self.table.peers),
            heartbeats_per_second=self.heartbeats_per_second,
        )
        self.table.index_incarnations()
        self.changed.notify()

    def _accept(
        self, heartbeat: Heartbeat, now: Monotonic
    ) -> IgnoreReason | None:
        member = self.table.peers.get(heartbeat.host)
        if member is None:
            return IgnoreReason.UNLISTED
        host = self.table.find_host(heartbeat.incarnation)
        if host not in {None, heartbeat.host}:
            return IgnoreReason.INCARNATION_IN_USE
        is_recipient = heartbeat.recipient == self.table.local.incarnation
        echo = heartbeat.echo if is_recipient else None
        context = HeartbeatContext(
            echo=NO_ECHO if echo is None else echo,
            last_sent=self.sequence,
            now=now,
            tombstones=self.tombstones,
        )
        complete_heartbeat = restore_loads(heartbeat, member.last_heartbeat)
        if complete_heartbeat is None:
            return IgnoreReason.UNKNOWN_LOADS
        return accept_heartbeat(member, complete_heartbeat, context)

    def _restart_silences_after_pause(self, now: Monotonic) -> None:
        if now - self.last_active_at > PAUSE_PERIODS * self.timing.period:
            for member in self.table.peers.values():
                member.restart_silence(now)
        self.last_active_at = now
