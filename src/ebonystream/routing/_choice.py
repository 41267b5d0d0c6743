"""Selection of a slot for a call; performs no I/O."""

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
from ebonystream.routing._waiting import Waiter

OVERLAP_DELAY = 0.003
"""How long a call waits for a free server before it may take an overlap slot,
in seconds."""

MAX_TRIAL_AVOIDANCE = 0.1
"""Longest time for which a guaranteed call (one of rank 0) avoids the trial of
a slow server, in seconds."""

MAX_TRIAL_AVOIDANCE_SHARE = 0.1
"""Upper bound on the same time, as a share of the time from the call's arrival
to its deadline."""

TRIAL_RESERVATION = 1.0
"""How long after the end of a slow server's time without calls its trial is
reserved for calls that are not guaranteed, in seconds. A guaranteed call makes
the trial after that, so that the server is also tried if there are no other
calls."""


@attrs.frozen
class Choice:
    """A slot selected for a call.

    Attributes:
        slot: The selected slot.
        reason: Why it was selected.
    """

    slot: Slot
    reason: ChoiceReason


NO_TRIAL_CUTOFF = Monotonic(math.inf)
"""Cutoff of a call that may make the trial of any slow server."""

ChooseSlot = Callable[[Sequence[Slot], Waiter, Monotonic], Choice | None]
"""Selects one of the free slots for a call; None if it may use none now."""


def make_choose_slot(
    *, zone: ZoneName, may_take: MayTake, random: Random
) -> ChooseSlot:
    """Return a function that selects a slot.

    It prefers a server that is not slow, then a slot that is no overlap slot,
    then a server in the host's zone.

    Args:
        zone: Availability zone of this host.
        may_take: Returns whether a call may be sent to a server.
        random: Random number generator, to break ties.
    """

    def get_preference(slot: Slot) -> tuple[bool, bool, bool, float]:
        server = slot.server
        slow = server.relative_latency.is_slow()
        return slow, slot.overlap, server.zone != zone, random.random()

    def choose_slot(
        free: Sequence[Slot], waiter: Waiter, now: Monotonic
    ) -> Choice | None:
        avoid_overlap = now - waiter.queued_at < OVERLAP_DELAY
        trial_cutoff = _get_trial_cutoff(waiter, now)
        usable = [
            slot
            for slot in free
            if not (slot.overlap and avoid_overlap)
            and not slot.server.relative_latency.awaits_trial(trial_cutoff)
        ]
        # `may_take` is expensive and does not depend on the slot, so it is
        # evaluated once per server.
        servers = {slot.server.id: slot.server for slot in usable}
        allowed_ids = {
            server.id
            for server in servers.values()
            if server.id not in waiter.tried and may_take(waiter.call, server)
        }
        if not allowed_ids:
            return None
        slot = min(
            (
                candidate
                for candidate in usable
                if candidate.server.id in allowed_ids
            ),
            key=get_preference,
        )
        return Choice(slot, _get_reason(slot, zone))

    return choose_slot


def choose_slot_for_peer(
    free: Iterable[Slot], peer_zone: ZoneName, local_zone: ZoneName
) -> Slot | None:
    """Select a free slot to grant to a peer; None if none may be granted.

    Slots of slow or starting servers are not granted. A slot that is no
    overlap slot is preferred, then one of a server in the peer's zone, then
    one of a server that is not in this host's zone.

    Args:
        free: The free slots.
        peer_zone: Availability zone of the peer.
        local_zone: Availability zone of this host.
    """
    return min(
        (slot for slot in free if _is_grantable(slot.server)),
        key=lambda slot: (
            slot.overlap,
            slot.server.zone != peer_zone,
            slot.server.zone == local_zone,
        ),
        default=None,
    )


def _get_trial_cutoff(waiter: Waiter, now: Monotonic) -> Monotonic:
    """Return the latest `avoid_until` of slow servers that a call may try.

    A slow server with a later one is not selected for the call.
    """
    time_limit = waiter.call.deadline - waiter.queued_at
    max_avoidance = min(
        MAX_TRIAL_AVOIDANCE, MAX_TRIAL_AVOIDANCE_SHARE * time_limit
    )
    if waiter.rank or now - waiter.queued_at >= max_avoidance:
        return NO_TRIAL_CUTOFF
    return Monotonic(now - TRIAL_RESERVATION)


def _is_grantable(server: BackendServer) -> bool:
    return (
        not server.relative_latency.is_slow()
        and not server.lifecycle.is_starting
    )


def _get_reason(slot: Slot, zone: ZoneName) -> ChoiceReason:
    if slot.server.relative_latency.is_slow():
        return ChoiceReason.TRIAL
    if slot.overlap:
        return ChoiceReason.OVERLAP
    if slot.server.zone == zone:
        return ChoiceReason.OWN_ZONE
    return ChoiceReason.SPILLED
