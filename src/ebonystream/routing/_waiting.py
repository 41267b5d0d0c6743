"""Calls that wait at an entry host for a slot, the most urgent first."""

import bisect
from collections.abc import Callable

import attrs

from ebonystream._ids import Monotonic, ServerId
from ebonystream.call import Call
from ebonystream.errors import EbonystreamError
from ebonystream.routing._reason import ChoiceReason
from ebonystream.routing._slots import Slot


@attrs.define(kw_only=True, eq=False)
class Waiting:
    """One call that waits for a slot.

    Attributes:
        call: The call.
        tried: Servers that it must not go to again.
        rank: Its place by plan; 0 goes first.
        since: When it came.
        wake: Called once, when the wait has ended either way.
        slot: The slot that it got.
        reason: Why it got that slot.
        error: Why it gets none.
    """

    call: Call
    tried: frozenset[ServerId]
    rank: int
    since: Monotonic
    wake: Callable[[], None]
    slot: Slot | None = None
    reason: ChoiceReason | None = None
    error: EbonystreamError | None = None

    def order(self) -> tuple[int, Monotonic, Monotonic]:
        """Give what decides who goes first: plan, deadline, arrival."""
        return self.rank, self.call.deadline, self.since

    def admit(self, slot: Slot, now: Monotonic) -> None:
        """End the wait with a slot."""
        assert now < self.call.deadline, 'a call is placed past its deadline'
        self.slot = slot
        self.wake()

    def refuse(self, error: EbonystreamError) -> None:
        """End the wait without one."""
        self.error = error
        self.wake()


@attrs.define
class WaitingLine:
    """The calls that wait for slots of one service.

    Attributes:
        waiting: The calls, the most urgent first.
    """

    waiting: list[Waiting] = attrs.field(factory=list)

    def join(self, one: Waiting) -> int:
        """Add a call and give how many go before it."""
        place = bisect.bisect_right(
            self.waiting, one.order(), key=Waiting.order
        )
        self.waiting.insert(place, one)
        return place

    def leave(self, one: Waiting) -> None:
        """Take a call out, if it still waits."""
        if one in self.waiting:
            self.waiting.remove(one)

    def drop_last(self) -> Waiting:
        """Take the least urgent call out."""
        return self.waiting.pop()
