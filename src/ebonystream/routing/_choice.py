"""The choice of a slot for a call, with its reason."""

import math
from collections.abc import Callable, Iterable, Sequence
from random import Random

import attrs

from ebonystream._ids import Monotonic, ZoneName
from ebonystream.backend import (
    BackendServer,
    MayTake,
)
from ebonystream.routing._reason import ChoiceReason
from ebonystream.routing._slots import Slot
from ebonystream.routing._waiting import Waiting

OVERLAP_AFTER = 0.003
"""How long a call waits for a slot before it may overlap, in seconds."""

SPARED_WAIT = 0.1
"""The longest that a promised call leaves slow servers to others, in
seconds."""

SPARED_SHARE = 0.1
"""The same, as a share of the time between its coming and its deadline."""

TRIAL_AFTER = 1.0
"""How long after a slow server's rest promised calls leave its trial to
others, in seconds: where there are no others, it is tried all the same."""


@attrs.frozen
class Choice:
    """A slot for a call.

    Attributes:
        slot: The slot.
        reason: Why this one.
    """

    slot: Slot
    reason: ChoiceReason


NEVER = Monotonic(math.inf)

Choose = Callable[[Sequence[Slot], Waiting, Monotonic], Choice | None]
"""Picks one of the free slots for a call, if it may use any now."""


def make_choosing(
    *, zone: ZoneName, may_take: MayTake, random: Random
) -> Choose:
    """Make the function that picks a slot.

    Args:
        zone: Where this host stands.
        may_take: Tells whether a server may have a call.
        random: Breaks ties.
    """

    def weigh(slot: Slot) -> tuple[bool, bool, bool, float]:
        server = slot.server
        slow = server.evidence.is_slow()
        return slow, slot.overlap, server.zone != zone, random.random()

    def choose(
        free: Sequence[Slot], waiting: Waiting, now: Monotonic
    ) -> Choice | None:
        patient = now - waiting.since < OVERLAP_AFTER
        spared = _find_spared(waiting, now)
        ready = [
            slot
            for slot in free
            if not (slot.overlap and patient)
            and not slot.server.evidence.awaits_trial(spared)
        ]
        # Slots of one server are alike to the rules, which cost far more.
        servers = {slot.server.id: slot.server for slot in ready}
        fit = {
            server.id
            for server in servers.values()
            if server.id not in waiting.tried and may_take(waiting.call, server)
        }
        if not fit:
            return None
        slot = min((one for one in ready if one.server.id in fit), key=weigh)
        return Choice(slot, _explain(slot, zone))

    return choose


def choose_gift(
    free: Iterable[Slot], asker: ZoneName, own: ZoneName
) -> Slot | None:
    """Pick a free slot for a peer: one of its zone, else one of no use here.

    Args:
        free: Slots that may take a call.
        asker: Where the peer stands.
        own: Where this host stands.
    """
    return min(
        (slot for slot in free if _is_of_use(slot.server)),
        key=lambda slot: (
            slot.overlap,
            slot.server.zone != asker,
            slot.server.zone == own,
        ),
        default=None,
    )


def _find_spared(waiting: Waiting, now: Monotonic) -> Monotonic:
    """Give the end of the rests that a call does not follow with a trial."""
    time = waiting.call.deadline - waiting.since
    longest = min(SPARED_WAIT, SPARED_SHARE * time)
    if waiting.rank or now - waiting.since >= longest:
        return NEVER
    return Monotonic(now - TRIAL_AFTER)


def _is_of_use(server: BackendServer) -> bool:
    return not server.evidence.is_slow() and not server.warmth.is_starting


def _explain(slot: Slot, zone: ZoneName) -> ChoiceReason:
    if slot.server.evidence.is_slow():
        return ChoiceReason.TRIAL
    if slot.overlap:
        return ChoiceReason.OVERLAP
    if slot.server.zone == zone:
        return ChoiceReason.OWN_ZONE
    return ChoiceReason.SPILLED
