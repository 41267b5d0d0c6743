"""Slots of one service that this entry host holds.

Each slot of a backend server is held by one entry host at a time, so the
calls in flight at a server are bounded over all hosts together without a
message on the path of a call. A slot stays where it was used last and moves
when a peer has a call waiting for it.
"""

import math
from collections.abc import Iterator

import attrs

from ebonystream._ids import Monotonic, ServerId, SlotNumber
from ebonystream.backend import (
    BackendServer,
)

SlotKey = tuple[ServerId, SlotNumber]
"""Names one slot."""

MIN_SLOTS_TO_REST = 4
"""A host that holds fewer slots of a service than this rests none."""


@attrs.define(kw_only=True, eq=False)
class Slot:
    """One slot of a backend server.

    Attributes:
        server: The server.
        number: Which of its slots.
        sequence: How often the slot has changed hands.
        busy: Whether a call of this host is in flight in it.
        overlap: Whether it is beyond what the server works on at a time: a
            call in it waits there, ready for when another ends.
        revoked: Whether it goes away when its call ends.
        since: When this host got it.
        until: When its lease ends, unless home confirms it before.
    """

    server: BackendServer
    number: SlotNumber
    sequence: int = 0
    busy: bool = False
    overlap: bool = False
    revoked: bool = False
    since: Monotonic = Monotonic(0)
    until: Monotonic = Monotonic(math.inf)

    @property
    def key(self) -> SlotKey:
        """The name of the slot."""
        return self.server.id, self.number


@attrs.define
class HeldSlots:
    """The slots of one service that this host holds.

    Attributes:
        slots: Each slot under its name.
        newest: The highest sequence known of each slot, held or not; a grant
            that comes twice is told by it.
    """

    slots: dict[SlotKey, Slot] = attrs.field(factory=dict)
    newest: dict[SlotKey, int] = attrs.field(factory=dict)

    def add(self, slot: Slot) -> bool:
        """Take a slot over; False where a newer holding of it is known.

        Args:
            slot: A slot that nobody else holds.
        """
        if slot.key in self.slots or not self.learn(slot.key, slot.sequence):
            return False
        self.slots[slot.key] = slot
        return True

    def learn(self, key: SlotKey, sequence: int) -> bool:
        """Note a holding of a slot; False where it is not news."""
        newer = sequence > self.newest.get(key, -1)
        if newer:
            self.newest[key] = sequence
        return newer

    def begin(self, slot: Slot) -> None:
        """Count a call in a slot."""
        assert not slot.busy, f'two calls in the slot {slot.key}'
        assert not slot.revoked, f'a call in the lost slot {slot.key}'
        slot.busy = True
        slot.server.in_flight += 1

    def end(self, server: BackendServer) -> None:
        """Give the slot of an ended call back.

        Args:
            server: Where the call was; slots of one server are alike.
        """
        slot = next(
            one
            for one in self.slots.values()
            if one.busy and one.server.id == server.id
        )
        slot.busy = False
        server.in_flight -= 1
        assert server.in_flight >= 0, f'too many ends at {server.id}'
        if slot.revoked:
            self.slots.pop(slot.key)

    def remove(self, slot: Slot) -> None:
        """Drop a slot, at the end of its call where one is in flight."""
        if slot.busy:
            slot.revoked = True
        else:
            self.slots.pop(slot.key)

    def list_free(self, now: Monotonic) -> list[Slot]:
        """Give the slots that may take a call now.

        Args:
            now: The time, which ends rests.
        """
        idle = list(self._list_idle(now))
        ready = [one for one in idle if _is_ready(one.server, now)]
        # Where most servers look slow, resting them all serves nobody.
        few = len(self.slots) < MIN_SLOTS_TO_REST
        return idle if few or 2 * len(ready) < len(idle) - len(ready) else ready

    def _list_idle(self, now: Monotonic) -> Iterator[Slot]:
        for slot in self.slots.values():
            if not slot.busy and not slot.server.leaving and now < slot.until:
                yield slot


def _is_ready(server: BackendServer, now: Monotonic) -> bool:
    evidence = server.evidence
    if evidence.is_resting(now):
        return False
    return server.in_flight == 0 or not evidence.is_slow()
