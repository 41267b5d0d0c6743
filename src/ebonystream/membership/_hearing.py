"""Acceptance of heartbeats: which incarnation of a peer is confirmed."""

import attrs

from ebonystream._ids import Monotonic
from ebonystream.membership._life import Candidate
from ebonystream.membership._member import MAX_CANDIDATES, Member
from ebonystream.membership._state import IgnoreReason
from ebonystream.membership._tombstones import Tombstones
from ebonystream.peer import Heartbeat

NEVER_HEARD = -1
"""Lower than any sequence number: no heartbeat was received."""


@attrs.frozen(kw_only=True)
class Hearing:
    """What a heartbeat is checked against.

    Attributes:
        echo: Highest sequence number from this host that the sender of the
            heartbeat has received; negative if none.
        sent: Highest sequence number that this host has sent to any peer.
        now: Time of receipt.
        tombstones: Incarnations that are gone.
    """

    echo: int
    sent: int
    now: Monotonic
    tombstones: Tombstones


def hear(
    member: Member, heartbeat: Heartbeat, hearing: Hearing
) -> IgnoreReason | None:
    """Record a heartbeat of a peer, and confirm its incarnation if proven.

    Args:
        member: Peer that sent the heartbeat.
        heartbeat: Heartbeat, with its loads.
        hearing: What the heartbeat is checked against.

    Returns:
        Why the heartbeat is ignored; None if it is not.
    """
    if heartbeat.incarnation in hearing.tombstones:
        return IgnoreReason.GONE
    if hearing.echo > hearing.sent:
        return IgnoreReason.FALSE_ECHO
    if heartbeat.sequence <= _find_last_sequence(member, heartbeat):
        return IgnoreReason.OLD
    member.heard = heartbeat
    if member.believes(heartbeat.incarnation):
        member.take(heartbeat, hearing.now, echo=hearing.echo)
    elif _is_proven(member, heartbeat, hearing):
        member.adopt(heartbeat, hearing.now, hearing.tombstones)
        member.wake.notify()
    return None


def _find_last_sequence(member: Member, heartbeat: Heartbeat) -> int:
    if member.life is not None and member.believes(heartbeat.incarnation):
        return member.life.newest.sequence
    candidate = member.candidates.get(heartbeat.incarnation)
    return NEVER_HEARD if candidate is None else candidate.newest


def _is_proven(member: Member, heartbeat: Heartbeat, hearing: Hearing) -> bool:
    candidate = member.candidates.get(heartbeat.incarnation)
    if candidate is None:
        _add_candidate(member, heartbeat, hearing)
        return False
    candidate.newest = heartbeat.sequence
    candidate.heard_at = hearing.now
    return hearing.echo >= candidate.proof


def _add_candidate(
    member: Member, heartbeat: Heartbeat, hearing: Hearing
) -> None:
    candidates = member.candidates
    if len(candidates) >= MAX_CANDIDATES:
        oldest = min(
            candidates,
            key=lambda incarnation: candidates[incarnation].heard_at,
        )
        candidates.pop(oldest)
    candidates[heartbeat.incarnation] = Candidate(
        newest=heartbeat.sequence,
        proof=hearing.sent + 1,
        heard_at=hearing.now,
    )
    # Send at once the heartbeat whose echo confirms the incarnation.
    member.wake.notify()
