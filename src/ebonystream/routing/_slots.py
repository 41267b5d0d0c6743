"""Slots of one service that this entry host holds.

Each slot of a backend server is held by one entry host at a time, so the
calls in flight at a server are bounded over all hosts without a message for
each call. A slot stays with the host that used it last until a peer requests
it for a waiting call.
"""

import math
from collections.abc import Iterator

import attrs

from ebonystream._ids import Monotonic, ServerId, SlotNumber
from ebonystream.backend import (
    BackendServer,
)

SlotKey = tuple[ServerId, SlotNumber]
"""Identifies a slot."""

MIN_SLOTS_TO_AVOID = 4
"""Number of slots of a service that a host must hold to avoid slow servers."""


@attrs.define(kw_only=True, eq=False)
class Slot:
    """One slot of a backend server.

    Attributes:
        server: The server.
        number: Number of the slot at its server.
        sequence: Grows each time the slot changes hands.
        busy: Whether a call of this host is in flight in the slot.
        overlap: Whether the slot exceeds the number of calls that the server
            processes at a time: a call in it queues at the server and starts
            when another ends.
        revoked: Whether the slot is removed when its call ends.
        received_at: When this host received the slot.
        lease_end: When its lease ends, unless its home renews it before.
    """

    server: BackendServer
    number: SlotNumber
    sequence: int = 0
    busy: bool = False
    overlap: bool = False
    revoked: bool = False
    received_at: Monotonic = Monotonic(0)
    lease_end: Monotonic = Monotonic(math.inf)

    @property
    def key(self) -> SlotKey:
        """Identity of the slot."""
        return self.server.id, self.number


@attrs.define
class HeldSlots:
    """The slots of one service that this host holds.

    Attributes:
        slots: The slots held.
        newest_sequences: The highest known sequence of each slot, held or not,
            by which a duplicated grant is recognized.
    """

    slots: dict[SlotKey, Slot] = attrs.field(factory=dict)
    newest_sequences: dict[SlotKey, int] = attrs.field(factory=dict)

    def add(self, slot: Slot) -> bool:
        """Add a slot and return whether it was added.

        A slot that is held already, or whose sequence is out of date, is not
        added.

        Args:
            slot: A slot that no other host holds.
        """
        if slot.key in self.slots or not self.record_sequence(
            slot.key, slot.sequence
        ):
            return False
        self.slots[slot.key] = slot
        return True

    def record_sequence(self, key: SlotKey, sequence: int) -> bool:
        """Record the sequence of a slot and return whether it is the newest."""
        is_newer = sequence > self.newest_sequences.get(key, -1)
        if is_newer:
            self.newest_sequences[key] = sequence
        return is_newer

    def acquire(self, slot: Slot) -> None:
        """Mark a slot as used by a call."""
        assert not slot.busy, f'two calls in slot {slot.key}'
        assert not slot.revoked, f'a call in the revoked slot {slot.key}'
        slot.busy = True
        slot.server.in_flight += 1

    def release(self, server: BackendServer) -> None:
        """Release the slot of a call that has ended.

        Args:
            server: Server of the call; its busy slots are interchangeable.
        """
        slot = next(
            candidate
            for candidate in self.slots.values()
            if candidate.busy and candidate.server.id == server.id
        )
        slot.busy = False
        server.in_flight -= 1
        assert server.in_flight >= 0, (
            f'more calls ended than began at {server.id}'
        )
        if slot.revoked:
            self.slots.pop(slot.key)

    def remove(self, slot: Slot) -> None:
        """Remove a slot, after the end of its call if one is in flight."""
        if slot.busy:
            slot.revoked = True
        else:
            self.slots.pop(slot.key)

    def list_free(self, now: Monotonic) -> list[Slot]:
        """Return the slots that may get a call now.

        Args:
            now: The current time.
        """
        idle = list(self._list_idle(now))
        ready = [slot for slot in idle if _may_get_call(slot.server, now)]
        # If more than two thirds of the idle slots are at servers that look
        # slow, avoiding these would leave too few.
        holds_few = len(self.slots) < MIN_SLOTS_TO_AVOID
        return (
            idle
            if holds_few or 2 * len(ready) < len(idle) - len(ready)
            else ready
        )

    def _list_idle(self, now: Monotonic) -> Iterator[Slot]:
        for slot in self.slots.values():
            if (
                not slot.busy
                and not slot.server.leaving
                and now < slot.lease_end
            ):
                yield slot


def _may_get_call(server: BackendServer, now: Monotonic) -> bool:
    """Return whether a server may get a call; a slow one gets one at a time."""
    latency = server.relative_latency
    if latency.is_avoided(now):
        return False
    return server.in_flight == 0 or not latency.is_slow()
