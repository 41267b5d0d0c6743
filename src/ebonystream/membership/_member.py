"""One peer: its place, its incarnations, and the rules of its state."""

import attrs

from ebonystream._ids import (
    HostId,
    Incarnation,
    Monotonic,
    ZoneName,
)
from ebonystream._notifier import ChangeNotifier
from ebonystream.membership._life import Candidate, Life, Sendings
from ebonystream.membership._pace import Pace
from ebonystream.membership._state import MemberState
from ebonystream.membership._tombstones import Tombstones
from ebonystream.peer import Heartbeat

MAX_CANDIDATES = 4
"""Incarnations of one host that may be heard at a time and prove themselves."""

FORGET_SILENCES = 20
"""How often the silence that is borne has to pass until a host that is no
longer listed is forgotten."""


@attrs.frozen(kw_only=True)
class ListedPeer:
    """What the host list says of another entry host.

    Attributes:
        host: Names it.
        address: Its IP number.
        port: Where it listens for its peers.
        zone: The availability zone it stands in.
        leaving: Whether the list says that it is about to leave.
    """

    host: HostId
    address: str
    port: int
    zone: ZoneName
    leaving: bool = False


@attrs.define(kw_only=True)
class Member:
    """One peer, seen from this host.

    Attributes:
        place: What the host list said last.
        known_since: When the host list named it first.
        listed: Whether the host list still names it.
        state: How it stands.
        life: Its incarnation that proved to be alive, if any.
        candidates: Incarnations that have yet to prove it.
        heard: The heartbeat that was heard last, of any incarnation, whole.
        sendings: The newest heartbeats that were sent to it.
        excused_at: When this host last came back from a pause of its own.
        watched: Whether a task sends heartbeats to it.
        wake: Wakes that task.
    """

    place: ListedPeer
    known_since: Monotonic
    listed: bool = True
    state: MemberState = MemberState.LISTED
    life: Life | None = None
    candidates: dict[Incarnation, Candidate] = attrs.field(factory=dict)
    heard: Heartbeat | None = None
    sendings: Sendings = attrs.field(factory=Sendings)
    excused_at: Monotonic = Monotonic(float('-inf'))
    watched: bool = False
    wake: ChangeNotifier = attrs.field(factory=ChangeNotifier)

    def believes(self, incarnation: Incarnation) -> bool:
        """Tell whether an incarnation is the one that proved to be alive."""
        return self.life is not None and self.life.incarnation == incarnation

    def adopt(
        self, heartbeat: Heartbeat, now: Monotonic, tombstones: Tombstones
    ) -> None:
        """Take an incarnation that has proved to be alive as the one.

        The others that were heard have to prove themselves anew, so that
        whichever comes next was alive after this one.
        """
        assert heartbeat.incarnation not in tombstones, (
            'an incarnation that was gone came back'
        )
        self.end_life(tombstones)
        self.candidates.clear()
        self.life = Life(heartbeat, now, now)

    def take(self, heartbeat: Heartbeat, now: Monotonic, *, echo: int) -> None:
        """Take the next heartbeat of the present incarnation.

        Args:
            heartbeat: The heartbeat.
            now: The time.
            echo: The newest own sequence that the peer heard.
        """
        assert self.life is not None, 'a host that is gone was heard'
        self.life.take(heartbeat, now, self.sendings.find_time(echo))

    def is_any_of(self, tombstones: Tombstones) -> bool:
        """Tell whether its present incarnation was seen as gone."""
        return self.life is not None and self.life.incarnation in tombstones

    def excuse(self, now: Monotonic) -> None:
        """Start the member's silence anew: this very host had been paused."""
        if self.state in {MemberState.REACHABLE, MemberState.LEAVING}:
            self.excused_at = now

    def end_life(self, tombstones: Tombstones) -> None:
        """Take the present incarnation, if any, as gone."""
        if self.life is not None:
            tombstones.add(self.life.incarnation)
            self.life = None

    def judge(self, now: Monotonic, pace: Pace) -> MemberState:
        """Tell how the member stands now.

        Args:
            now: The time.
            pace: The rhythm of heartbeats.
        """
        if self.life is None:
            never = self.state is MemberState.LISTED
            return MemberState.LISTED if never else MemberState.GONE
        heard_at = max(self.life.heard_at, self.excused_at)
        if now - heard_at > pace.silence:
            left = self.life.newest.leaving
            return MemberState.GONE if left else MemberState.UNREACHABLE
        echoed_at = max(self.life.echoed_at, self.excused_at)
        if now - echoed_at > pace.silence + pace.period:
            return MemberState.UNREACHABLE
        if self.life.newest.leaving or self.place.leaving:
            return MemberState.LEAVING
        return MemberState.REACHABLE

    def is_forgotten(self, now: Monotonic, pace: Pace) -> bool:
        """Tell whether the host is neither listed nor heard for long.

        It is not gone: a host that was cut off may prove itself again.

        Args:
            now: The time.
            pace: The rhythm of heartbeats.
        """
        if self.listed:
            return False
        if self.life is None:
            return True
        return now - self.life.heard_at > FORGET_SILENCES * pace.silence
