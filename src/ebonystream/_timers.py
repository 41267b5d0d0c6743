"""The timer service: the only source of time in a process.

Components receive a `Timers` from the composition root instead of reading a
clock, so that a run on a virtual clock sees one consistent time.
"""

from collections.abc import AsyncIterator, Callable

import attrs
import trio

from ebonystream._ids import BootTime, EpochMs, Incarnation, Monotonic, Seconds

MS_PER_SECOND = 1000

WallClock = Callable[[], float]
"""Return the wall-clock time in seconds since the Unix epoch."""


BootClock = Callable[[], float]
"""Return the seconds since the start of the machine, suspension included."""


@attrs.define
class Timers:
    """Clock and periodic wake-ups.

    Attributes:
        epoch_offset: Seconds since the Unix epoch when the monotonic clock
            read zero. Hosts' clocks may disagree; no safety property depends on
            it.
        boot_clock: Reads the clock that counts time of suspension; by default
            the monotonic clock, which does not.
    """

    epoch_offset: float
    boot_clock: BootClock = attrs.field(default=trio.current_time, kw_only=True)

    def now(self) -> Monotonic:
        """Read the monotonic clock, in seconds."""
        return Monotonic(trio.current_time())

    def boot_now(self) -> BootTime:
        """Read the clock that counts time of suspension, in seconds."""
        return BootTime(self.boot_clock())

    def wall_ms(self) -> EpochMs:
        """Read the wall clock, in milliseconds since the Unix epoch."""
        seconds = self.epoch_offset + trio.current_time()
        return EpochMs(int(seconds * MS_PER_SECOND))

    def make_incarnation(self) -> Incarnation:
        """Make an incarnation that sorts after those of earlier starts."""
        return Incarnation(f'{self.wall_ms():013d}')

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


def make_timers(
    *, wall_clock: WallClock, boot_clock: BootClock = trio.current_time
) -> Timers:
    """Make the timer service of this process.

    Args:
        wall_clock: Reads the wall clock, in seconds since the Unix epoch.
        boot_clock: Reads the clock that counts time of suspension, in seconds.
    """
    return Timers(
        epoch_offset=wall_clock() - trio.current_time(), boot_clock=boot_clock
    )
