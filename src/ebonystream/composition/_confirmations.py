"""The newest confirmations of moves by the live entry hosts."""

from ebonystream._ids import EpochMs, Monotonic, Offset
from ebonystream._timers import MS_PER_SECOND, Timers
from ebonystream.composition._parts import Parts
from ebonystream.membership import MemberState, MemberView
from ebonystream.move import Confirmation

NOTHING_FOLDED = Offset(0)
"""Offset of a host that has not folded any record of the control stream."""


def list_confirmations(parts: Parts) -> tuple[Confirmation, ...]:
    """Return the newest confirmation of each live entry host, this one first.

    A host that announced that it is leaving and then fell silent has ended: no
    move waits for it. A listed host that has never sent a heartbeat may serve
    callers, so moves wait for it.
    """
    local = Confirmation(
        host=parts.settings.host.id,
        incarnation=parts.incarnation,
        control_next=parts.control.next_offset,
        zones_in_flight=dict(parts.zones_in_flight.calls),
    )
    members = parts.peers.membership.table.list_members()
    return local, *(
        _make_confirmation(member, parts.timers)
        for member in members
        if member.state is not MemberState.GONE
    )


def _make_confirmation(member: MemberView, timers: Timers) -> Confirmation:
    heartbeat = member.heartbeat
    unreachable_since = member.unreachable_since
    return Confirmation(
        host=member.host,
        incarnation=member.incarnation,
        control_next=NOTHING_FOLDED
        if heartbeat is None
        else heartbeat.control_next,
        zones_in_flight={} if heartbeat is None else heartbeat.zones_in_flight,
        unreachable_since_ms=None
        if unreachable_since is None
        else _convert_to_wall_ms(unreachable_since, timers),
    )


def _convert_to_wall_ms(time: Monotonic, timers: Timers) -> EpochMs:
    age_ms = (timers.now() - time) * MS_PER_SECOND
    return EpochMs(timers.wall_ms() - int(age_ms))
