"""Acceptance of heartbeats: which incarnation of a peer is confirmed."""

import attrs

from ebonystream._ids import Monotonic
from ebonystream.membership._incarnations import UnconfirmedIncarnation
from ebonystream.membership._member import MAX_UNCONFIRMED, Member
from ebonystream.membership._state import IgnoreReason
from ebonystream.membership._tombstones import Tombstones
from ebonystream.peer import Heartbeat

NO_SEQUENCE = -1
"""Lower than any sequence number: no heartbeat was received."""


@attrs.frozen(kw_only=True)
class HeartbeatContext:
    """What a heartbeat is checked against.

    Attributes:
        echo: Highest sequence number from this host that the sender of the
            heartbeat has received; negative if none.
        last_sent: Highest sequence number that this host has sent to any peer.
        now: Time of receipt.
        tombstones: Incarnations that are gone.
    """

    echo: int
    last_sent: int
    now: Monotonic
    tombstones: Tombstones


def accept_heartbeat(
    member: Member, heartbeat: Heartbeat, context: HeartbeatContext
) -> IgnoreReason | None:
    """Record a heartbeat of a peer, and confirm its incarnation if proven.

    Args:
        member: Peer that sent the heartbeat.
        heartbeat: Heartbeat, with its loads.
        context: What the heartbeat is checked against.

    Returns:
        Why the heartbeat is ignored; None if it is not.
    """
    if heartbeat.incarnation in context.tombstones:
        return IgnoreReason.GONE
    if context.echo > context.last_sent:
        return IgnoreReason.FALSE_ECHO
    if heartbeat.sequence <= _find_last_sequence(member, heartbeat):
        return IgnoreReason.OUT_OF_ORDER
    member.last_heartbeat = heartbeat
    if member.is_confirmed(heartbeat.incarnation):
        member.record_heartbeat(heartbeat, context.now, echo=context.echo)
    elif _is_proven(member, heartbeat, context):
        member.confirm(heartbeat, context.now, context.tombstones)
        member.wake.notify()
    return None


def _find_last_sequence(member: Member, heartbeat: Heartbeat) -> int:
    if member.confirmed is not None and member.is_confirmed(
        heartbeat.incarnation
    ):
        return member.confirmed.last_heartbeat.sequence
    unconfirmed = member.unconfirmed.get(heartbeat.incarnation)
    return NO_SEQUENCE if unconfirmed is None else unconfirmed.last_sequence


def _is_proven(
    member: Member, heartbeat: Heartbeat, context: HeartbeatContext
) -> bool:
    """Return whether an unconfirmed incarnation is proven to be alive.

    The heartbeat is recorded, as later ones are checked against it.
    """
    unconfirmed = member.unconfirmed.get(heartbeat.incarnation)
    if unconfirmed is None:
        _add_unconfirmed(member, heartbeat, context)
        return False
    unconfirmed.last_sequence = heartbeat.sequence
    unconfirmed.received_at = context.now
    return context.echo >= unconfirmed.required_echo


def _add_unconfirmed(
    member: Member, heartbeat: Heartbeat, context: HeartbeatContext
) -> None:
    unconfirmed = member.unconfirmed
    if len(unconfirmed) >= MAX_UNCONFIRMED:
        oldest = min(
            unconfirmed,
            key=lambda incarnation: unconfirmed[incarnation].received_at,
        )
        unconfirmed.pop(oldest)
    unconfirmed[heartbeat.incarnation] = UnconfirmedIncarnation(
        last_sequence=heartbeat.sequence,
        required_echo=context.last_sent + 1,
        received_at=context.now,
    )
    # Send at once the heartbeat whose echo confirms the incarnation.
    member.wake.notify()
