"""What entry hosts confirm, for reports on moves."""

from ebonystream._ids import EpochMs, Monotonic, Offset
from ebonystream._timers import MS_PER_SECOND, Timers
from ebonystream.composition._parts import Parts
from ebonystream.membership import MemberState, MemberView
from ebonystream.move import Confirmation

NOTHING_FOLDED = Offset(0)


def list_confirmations(parts: Parts) -> tuple[Confirmation, ...]:
    """Give the newest word of each live entry host, this one first.

    A host that said that it leaves and fell silent has ended: no move waits
    for it. One that is listed and was never heard may serve callers.
    """
    own = Confirmation(
        host=parts.settings.host.id,
        incarnation=parts.incarnation,
        control_next=parts.control.next_offset,
        zones_in_flight=dict(parts.zones_in_flight.calls),
    )
    members = parts.peers.membership.table.list_members()
    return own, *(
        _confirm(member, parts.timers)
        for member in members
        if member.state is not MemberState.GONE
    )


def _confirm(member: MemberView, timers: Timers) -> Confirmation:
    beat = member.heartbeat
    since = member.silent_since
    return Confirmation(
        host=member.host,
        incarnation=member.incarnation,
        control_next=NOTHING_FOLDED if beat is None else beat.control_next,
        zones_in_flight={} if beat is None else beat.zones_in_flight,
        unreachable_since_ms=None
        if since is None
        else _read_wall(since, timers),
    )


def _read_wall(time: Monotonic, timers: Timers) -> EpochMs:
    ago_ms = (timers.now() - time) * MS_PER_SECOND
    return EpochMs(timers.wall_ms() - int(ago_ms))
