"""What other parts learn of the members."""

from collections.abc import Mapping

import attrs

from ebonystream._ids import (
    HostId,
    Incarnation,
    Monotonic,
    Offset,
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
        heard_at: When that came.
    """

    host: HostId
    zone: ZoneName
    state: MemberState
    incarnation: Incarnation | None
    heartbeat: Heartbeat | None
    heard_at: Monotonic | None


@attrs.frozen(kw_only=True)
class Confirmation:
    """How far one peer has come, for the report on a move.

    Attributes:
        host: Names it.
        state: How it stands; what a peer that is not reachable confirmed
            last may be out of date.
        incarnation: Which run of it confirms, if any.
        control_next: The next offset of the control stream it will fold.
        zones_in_flight: Calls that it has in hand in each zone.
    """

    host: HostId
    state: MemberState
    incarnation: Incarnation | None
    control_next: Offset | None
    zones_in_flight: Mapping[ZoneName, int]


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
        heard_at=None if life is None else life.heard_at,
    )


def show_confirmation(member: Member) -> Confirmation:
    """Tell how far a peer has come.

    Args:
        member: The peer.
    """
    life = member.life
    return Confirmation(
        host=member.place.host,
        state=member.state,
        incarnation=None if life is None else life.incarnation,
        control_next=None if life is None else life.newest.control_next,
        zones_in_flight={} if life is None else life.newest.zones_in_flight,
    )
