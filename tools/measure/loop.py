"""Events in virtual time."""

import heapq
from collections.abc import Callable

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream._timers import Timers

Event = tuple[float, int, Callable[[], None]]
"""When, in which order among equals, and what."""


@attrs.define
class Loop:
    """Runs functions at their time, in order.

    Attributes:
        now: The virtual time, in seconds.
    """

    now: float = 0
    _count: int = 0
    _events: list[Event] = attrs.field(factory=list)

    def call_after(self, delay: float, run: Callable[[], None]) -> None:
        """Run a function after a delay, in seconds."""
        self._count += 1
        heapq.heappush(self._events, (self.now + delay, self._count, run))

    def run(self) -> None:
        """Run until nothing is left to do."""
        while self._events:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2]()


@attrs.define
class LoopTimers(Timers):
    """The product's timer service on virtual time.

    Attributes:
        loop: Where the time comes from.
    """

    loop: Loop

    def now(self) -> Monotonic:
        """Read the virtual time, in seconds."""
        return Monotonic(self.loop.now)


def make_timers(loop: Loop) -> LoopTimers:
    """Make a timer service on a loop."""
    return LoopTimers(epoch_offset=Seconds(0), loop=loop)
