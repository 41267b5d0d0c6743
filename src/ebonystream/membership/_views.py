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
        unreachable_since: Since when the peer has been unreachable; None if
            it is reachable or leaving.
    """

    host: HostId
    zone: ZoneName
    state: MemberState
    incarnation: Incarnation | None
    heartbeat: Heartbeat | None
    unreachable_since: Monotonic | None


def make_member_view(member: Member) -> MemberView:
    """Return the current state of a peer.

    Args:
        member: Peer to describe.
    """
    confirmed = member.confirmed
    return MemberView(
        host=member.listing.host,
        zone=member.listing.zone,
        state=member.state,
        incarnation=None if confirmed is None else confirmed.incarnation,
        heartbeat=None if confirmed is None else confirmed.last_heartbeat,
        unreachable_since=_find_unreachable_since(member),
    )


def _find_unreachable_since(member: Member) -> Monotonic | None:
    if member.state in {MemberState.REACHABLE, MemberState.LEAVING}:
        return None
    if member.confirmed is None:
        return member.first_listed_at
    return min(member.confirmed.received_at, member.confirmed.echoed_at)
