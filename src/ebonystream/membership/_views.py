"""What other parts learn of the members."""

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
    """One peer as it stands now.

    Attributes:
        host: Names it.
        zone: The availability zone it stands in.
        state: How it stands.
        incarnation: Which run of it is believed, if any.
        heartbeat: The newest heartbeat of that run, if any.
        silent_since: Since when it can't be reached; None while it can.
    """

    host: HostId
    zone: ZoneName
    state: MemberState
    incarnation: Incarnation | None
    heartbeat: Heartbeat | None
    silent_since: Monotonic | None


def show_member(member: Member) -> MemberView:
    """Tell how a peer stands.

    Args:
        member: The peer.
    """
    life = member.life
    return MemberView(
        host=member.place.host,
        zone=member.place.zone,
        state=member.state,
        incarnation=None if life is None else life.incarnation,
        heartbeat=None if life is None else life.newest,
        silent_since=_find_silence(member),
    )


def _find_silence(member: Member) -> Monotonic | None:
    if member.state in {MemberState.REACHABLE, MemberState.LEAVING}:
        return None
    if member.life is None:
        return member.known_since
    return min(member.life.heard_at, member.life.echoed_at)
