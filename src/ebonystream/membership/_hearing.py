"""Taking a heartbeat: which incarnation of a peer is believed."""

import attrs

from ebonystream._ids import Monotonic
from ebonystream.membership._life import Candidate
from ebonystream.membership._member import MAX_CANDIDATES, Member
from ebonystream.membership._state import IgnoreReason
from ebonystream.membership._tombstones import Tombstones
from ebonystream.peer import Heartbeat

NEVER_HEARD = -1


@attrs.frozen(kw_only=True)
class Hearing:
    """What a heartbeat is held against.

    Attributes:
        echo: The newest own sequence that its sender heard; negative for
            none.
        sent: The newest own sequence that was sent to anyone.
        now: The time.
        tombstones: Incarnations that were seen as gone.
    """

    echo: int
    sent: int
    now: Monotonic
    tombstones: Tombstones


def hear(
    member: Member, heartbeat: Heartbeat, hearing: Hearing
) -> IgnoreReason | None:
    """Take a heartbeat of a peer, or tell why it is ignored.

    Args:
        member: The peer.
        heartbeat: Its heartbeat, whole.
        hearing: What it is held against.
    """
    if heartbeat.incarnation in hearing.tombstones:
        return IgnoreReason.GONE
    if hearing.echo > hearing.sent:
        return IgnoreReason.FALSE_ECHO
    if heartbeat.sequence <= _find_newest(member, heartbeat):
        return IgnoreReason.OLD
    member.heard = heartbeat
    if member.believes(heartbeat.incarnation):
        member.take(heartbeat, hearing.now, echo=hearing.echo)
    elif _has_proved(member, heartbeat, hearing):
        member.adopt(heartbeat, hearing.now, hearing.tombstones)
        member.wake.notify()
    return None


def _find_newest(member: Member, heartbeat: Heartbeat) -> int:
    if member.life is not None and member.believes(heartbeat.incarnation):
        return member.life.newest.sequence
    candidate = member.candidates.get(heartbeat.incarnation)
    return NEVER_HEARD if candidate is None else candidate.newest


def _has_proved(member: Member, heartbeat: Heartbeat, hearing: Hearing) -> bool:
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
        stalest = min(candidates, key=lambda one: candidates[one].heard_at)
        candidates.pop(stalest)
    candidates[heartbeat.incarnation] = Candidate(
        newest=heartbeat.sequence,
        proof=hearing.sent + 1,
        heard_at=hearing.now,
    )
    # A heartbeat that it can echo goes out at once.
    member.wake.notify()
