"""One peer: its address, its incarnations, and the rules of its state."""

import attrs

from ebonystream._ids import (
    HostId,
    Incarnation,
    Monotonic,
    ZoneName,
)
from ebonystream._notifier import ChangeNotifier
from ebonystream.membership._incarnations import (
    ConfirmedIncarnation,
    SentHeartbeats,
    UnconfirmedIncarnation,
)
from ebonystream.membership._state import MemberState
from ebonystream.membership._timing import HeartbeatTiming
from ebonystream.membership._tombstones import Tombstones
from ebonystream.peer import Heartbeat

MAX_UNCONFIRMED = 4
"""Number of unconfirmed incarnations that are kept for one host."""

EVICTION_TIMEOUT_FACTOR = 20
"""Silence after which a host that is no longer listed is evicted, as a
multiple of the silence after which it counts as unreachable."""


@attrs.frozen(kw_only=True)
class ListedPeer:
    """Entry of the host list for another entry host.

    Attributes:
        host: Name of the host.
        address: IP address of the host.
        port: Port on which it listens for its peers.
        zone: Availability zone of the host.
        leaving: Whether the list announces that the host will shut down.
    """

    host: HostId
    address: str
    port: int
    zone: ZoneName
    leaving: bool = False


@attrs.define(kw_only=True)
class Member:
    """One peer, as seen by this host.

    Attributes:
        listing: Latest entry of the host list for the peer.
        first_listed_at: When the host list first had the peer.
        listed: Whether the host list still has the peer.
        state: State of the peer.
        confirmed: Its incarnation that is confirmed to be alive; None if there
            is none.
        unconfirmed: Incarnations that are not yet confirmed.
        last_heartbeat: Latest heartbeat of any incarnation, with its loads;
            None if none was received.
        sent_heartbeats: Latest heartbeats that were sent to the peer.
        resumed_at: When this host last resumed after a pause of its own.
        has_send_task: Whether a task sends heartbeats to the peer.
        wake: Makes that task send a heartbeat at once.
    """

    listing: ListedPeer
    first_listed_at: Monotonic
    listed: bool = True
    state: MemberState = MemberState.LISTED
    confirmed: ConfirmedIncarnation | None = None
    unconfirmed: dict[Incarnation, UnconfirmedIncarnation] = attrs.field(
        factory=dict
    )
    last_heartbeat: Heartbeat | None = None
    sent_heartbeats: SentHeartbeats = attrs.field(factory=SentHeartbeats)
    resumed_at: Monotonic = Monotonic(float('-inf'))
    has_send_task: bool = False
    wake: ChangeNotifier = attrs.field(factory=ChangeNotifier)

    def is_confirmed(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation is the confirmed one."""
        return (
            self.confirmed is not None
            and self.confirmed.incarnation == incarnation
        )

    def confirm(
        self, heartbeat: Heartbeat, now: Monotonic, tombstones: Tombstones
    ) -> None:
        """Confirm an incarnation; the previous one is gone.

        All other incarnations have to be proven anew, so that the next one to
        be confirmed was alive after this one.

        Args:
            heartbeat: Heartbeat that proves the incarnation to be alive.
            now: Time of receipt.
            tombstones: Incarnations that are gone; the previous one is added.
        """
        assert heartbeat.incarnation not in tombstones, (
            'an incarnation that is gone was confirmed again'
        )
        self.mark_gone(tombstones)
        self.unconfirmed.clear()
        self.confirmed = ConfirmedIncarnation(heartbeat, now, now)

    def record_heartbeat(
        self, heartbeat: Heartbeat, now: Monotonic, *, echo: int
    ) -> None:
        """Record the next heartbeat of the confirmed incarnation.

        Args:
            heartbeat: Heartbeat that was received.
            now: Time of receipt.
            echo: Highest sequence number from this host that the peer has
                received.
        """
        assert self.confirmed is not None, (
            'a heartbeat was recorded for a host that is gone'
        )
        self.confirmed.record_heartbeat(
            heartbeat, now, self.sent_heartbeats.find_send_time(echo)
        )

    def has_tombstone(self, tombstones: Tombstones) -> bool:
        """Return whether the confirmed incarnation is recorded as gone."""
        return (
            self.confirmed is not None
            and self.confirmed.incarnation in tombstones
        )

    def restart_silence(self, now: Monotonic) -> None:
        """Restart the measurement of silence after a pause of this host."""
        if self.state in {MemberState.REACHABLE, MemberState.LEAVING}:
            self.resumed_at = now

    def mark_gone(self, tombstones: Tombstones) -> None:
        """Record the confirmed incarnation, if any, as gone."""
        if self.confirmed is not None:
            tombstones.add(self.confirmed.incarnation)
            self.confirmed = None

    def compute_state(
        self, now: Monotonic, timing: HeartbeatTiming
    ) -> MemberState:
        """Return the state of the member.

        Args:
            now: Current time.
            timing: Period of heartbeats and tolerated silence.
        """
        if self.confirmed is None:
            is_new = self.state is MemberState.LISTED
            return MemberState.LISTED if is_new else MemberState.GONE
        received_at = max(self.confirmed.received_at, self.resumed_at)
        if now - received_at > timing.timeout:
            has_left = self.confirmed.last_heartbeat.leaving
            return MemberState.GONE if has_left else MemberState.UNREACHABLE
        echoed_at = max(self.confirmed.echoed_at, self.resumed_at)
        if now - echoed_at > timing.timeout + timing.period:
            return MemberState.UNREACHABLE
        if self.confirmed.last_heartbeat.leaving or self.listing.leaving:
            return MemberState.LEAVING
        return MemberState.REACHABLE

    def is_evictable(self, now: Monotonic, timing: HeartbeatTiming) -> bool:
        """Return whether to evict the host: unlisted and silent for long.

        Its incarnation is not recorded as gone, so a host that returns after
        a network partition can be confirmed again.

        Args:
            now: Current time.
            timing: Period of heartbeats and tolerated silence.
        """
        if self.listed:
            return False
        if self.confirmed is None:
            return True
        return (
            now - self.confirmed.received_at
            > EVICTION_TIMEOUT_FACTOR * timing.timeout
        )
