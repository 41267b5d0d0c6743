"""Calls that wait on this entry host for a slot, ordered by urgency."""

import bisect
from collections.abc import Callable

import attrs

from ebonystream._ids import Monotonic, ServerId
from ebonystream.call import Call
from ebonystream.errors import EbonystreamError
from ebonystream.routing._reason import ChoiceReason
from ebonystream.routing._slots import Slot


@attrs.define(kw_only=True, eq=False)
class Waiter:
    """A call that waits for a slot.

    Attributes:
        call: The call.
        tried: Servers that the call must not be sent to again.
        rank: Rank by the customer's plan; rank 0 is served first.
        queued_at: When the wait began.
        wake: Called once, when the wait ends with a slot or an error.
        slot: The assigned slot; None if there is none.
        reason: Why that slot was selected.
        error: Why the call was refused; None if it was not.
    """

    call: Call
    tried: frozenset[ServerId]
    rank: int
    queued_at: Monotonic
    wake: Callable[[], None]
    slot: Slot | None = None
    reason: ChoiceReason | None = None
    error: EbonystreamError | None = None

    def get_urgency(self) -> tuple[int, Monotonic, Monotonic]:
        """Return the sort key: rank, deadline, then arrival."""
        return self.rank, self.call.deadline, self.queued_at

    def assign(self, slot: Slot, now: Monotonic) -> None:
        """Assign a slot and end the wait."""
        assert now < self.call.deadline, 'a call is placed after its deadline'
        self.slot = slot
        self.wake()

    def refuse(self, error: EbonystreamError) -> None:
        """Refuse the call and end the wait."""
        self.error = error
        self.wake()


@attrs.define
class WaitQueue:
    """The calls that wait for slots of one service.

    Attributes:
        waiters: The calls, the most urgent first.
    """

    waiters: list[Waiter] = attrs.field(factory=list)

    def join(self, waiter: Waiter) -> int:
        """Add a call and return the number of calls ahead of it."""
        position = bisect.bisect_right(
            self.waiters, waiter.get_urgency(), key=Waiter.get_urgency
        )
        self.waiters.insert(position, waiter)
        return position

    def remove(self, waiter: Waiter) -> None:
        """Remove a call if it is still in the queue."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def pop_last(self) -> Waiter:
        """Remove the least urgent call and return it."""
        return self.waiters.pop()
