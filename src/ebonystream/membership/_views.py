"""Read-only views of the members."""

import attrs

from ebonystream._ids import (
    HostId,
    Incarnation,
    Monotonic,
    ZoneName,
)
from ebonystream.membership._member import Member
from ebonystream.membership._state import MemberState
from ebonystream.peer import Heartbeat


@attrs.frozen(kw_only=True)
class MemberView:
    """Current state of one peer.

    Attributes:
        host: Name of the peer.
        zone: Availability zone of the peer.
        state: State of the peer.
        incarnation: Its confirmed incarnation; None if there is none.
        heartbeat: Latest heartbeat of that incarnation; None if there is none.
        silent_since: Since when the peer has been unreachable; None if it is
            reachable or leaving.
    """

    host: HostId
    zone: ZoneName
    state: MemberState
    incarnation: Incarnation | None
    heartbeat: Heartbeat | None
    silent_since: Monotonic | None


def show_member(member: Member) -> MemberView:
    """Return the current state of a peer.

    Args:
        member: Peer to describe.
    """
    life = member.life
    return MemberView(
        host=member.place.host,
        zone=member.place.zone,
        state=member.state,
        incarnation=None if life is None else life.incarnation,
        heartbeat=None if life is None else life.newest,
        silent_since=_find_silence_start(member),
    )


def _find_silence_start(member: Member) -> Monotonic | None:
    if member.state in {MemberState.REACHABLE, MemberState.LEAVING}:
        return None
    if member.life is None:
        return member.known_since
    return min(member.life.heard_at, member.life.echoed_at)
