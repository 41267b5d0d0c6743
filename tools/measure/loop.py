"""An event loop in virtual time."""

import heapq
from collections.abc import Callable

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream._timers import Timers

Event = tuple[float, int, Callable[[], None]]
"""Time, sequence number that orders events of equal time, and callback."""


@attrs.define
class Loop:
    """Calls functions at their scheduled times, in order.

    Attributes:
        now: The virtual time, in seconds.
    """

    now: float = 0
    _count: int = 0
    _events: list[Event] = attrs.field(factory=list)

    def call_after(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedule a function after a delay, in seconds."""
        self._count += 1
        heapq.heappush(self._events, (self.now + delay, self._count, callback))

    def run(self) -> None:
        """Run until no events are left."""
        while self._events:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2]()


@attrs.define
class LoopTimers(Timers):
    """The product's timer service on virtual time.

    Attributes:
        loop: Source of the current time.
    """

    loop: Loop

    def now(self) -> Monotonic:
        """Read the virtual time, in seconds."""
        return Monotonic(self.loop.now)


def make_timers(loop: Loop) -> LoopTimers:
    """Create a timer service on the virtual time of a loop."""
    return LoopTimers(epoch_offset=Seconds(0), loop=loop)
