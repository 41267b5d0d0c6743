"""The timer service: the only source of time in a process.

Components receive a `Timers` from the composition root instead of reading a
clock, so that a run on a virtual clock sees one consistent time.
"""

import time
from collections.abc import AsyncIterator, Callable

import attrs
import trio

from ebonystream._ids import BootTime, EpochMs, Monotonic, Seconds

MS_PER_SECOND = 1000

WallClock = Callable[[], float]
"""Return the wall-clock time in seconds since the Unix epoch."""


def _read_boot_clock() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class Timers:
    """Clock and periodic wake-ups.

    Attributes:
        epoch_offset: Seconds since the Unix epoch when the monotonic clock
            read zero. Hosts' clocks may disagree; no safety property depends on
            it.
        boot_clock: Reads the clock that counts the time during which the
            machine is suspended.
    """

    epoch_offset: float
    boot_clock: Callable[[], float] = attrs.field(
        default=_read_boot_clock, kw_only=True
    )

    def now(self) -> Monotonic:
        """Read the monotonic clock, in seconds."""
        return Monotonic(trio.current_time())

    def boot_now(self) -> BootTime:
        """Read the time since the boot of the machine, in seconds.

        Unlike the monotonic clock it counts the time during which the machine
        is suspended.
        """
        return BootTime(self.boot_clock())

    def wall_ms(self) -> EpochMs:
        """Read the wall clock, in milliseconds since the Unix epoch."""
        seconds = self.epoch_offset + trio.current_time()
        return EpochMs(int(seconds * MS_PER_SECOND))

    async def subscribe(self, *, period: Seconds) -> AsyncIterator[Monotonic]:
        """Yield the time immediately and then once per period.

        A subscriber that is late skips the ticks it missed.

        Args:
            period: Interval between two ticks, in seconds.
        """
        due = self.now()
        while True:
            await trio.sleep_until(due)
            yield self.now()
            due = Monotonic(max(due + period, self.now()))

    async def wait(self, duration: Seconds) -> None:
        """Sleep for a duration in seconds; a negative one counts as 0."""
        await trio.sleep(max(0, duration))


def make_timers(*, wall_clock: WallClock) -> Timers:
    """Make the timer service of this process.

    Args:
        wall_clock: Reads the wall clock, in seconds since the Unix epoch.
    """
    return Timers(epoch_offset=wall_clock() - trio.current_time())
