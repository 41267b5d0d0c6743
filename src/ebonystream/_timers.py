"""The timer service: the one source of time that parts subscribe to.

Parts take a `Timers` from the composition root in place of reading a clock,
so that a run on a virtual clock sees one consistent time.
"""

from collections.abc import AsyncIterator, Callable

import attrs
import trio

from ebonystream._ids import EpochMs, Monotonic, Seconds

MS_PER_SECOND = 1000

WallClock = Callable[[], float]


@attrs.define
class Timers:
    """Tells the time and wakes its subscribers.

    Attributes:
        epoch_offset: Seconds since the Unix epoch when the monotonic clock
            read zero. Two hosts may disagree; nothing safe depends on it.
    """

    epoch_offset: float

    def now(self) -> Monotonic:
        """Read the monotonic clock, in seconds."""
        return Monotonic(trio.current_time())

    def wall_ms(self) -> EpochMs:
        """Read the wall clock, in milliseconds since the Unix epoch."""
        seconds = self.epoch_offset + trio.current_time()
        return EpochMs(int(seconds * MS_PER_SECOND))

    async def subscribe(self, *, period: Seconds) -> AsyncIterator[Monotonic]:
        """Yield the time once for each period, the first time at once.

        A subscriber that is late skips the ticks it missed.

        Args:
            period: The length between two ticks, in seconds.
        """
        due = self.now()
        while True:
            await trio.sleep_until(due)
            yield self.now()
            due = Monotonic(max(due + period, self.now()))

    async def wait(self, duration: Seconds) -> None:
        """Sleep for a length of time, in seconds."""
        await trio.sleep(max(0, duration))


def make_timers(*, wall_clock: WallClock) -> Timers:
    """Make the timer service of this process.

    Args:
        wall_clock: Reads the wall clock, in seconds since the Unix epoch.
    """
    return Timers(epoch_offset=wall_clock() - trio.current_time())
