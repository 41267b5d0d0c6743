"""Numbers of reporting windows, from a time of day that does not step."""

from collections.abc import Iterable

import attrs

from ebonystream._ids import BootTime, Seconds, WindowNumber

MIN_CLOCKS = 3
"""Number of clocks from which their median is believed: with two it is not
known which one is off."""

MAX_CORRECTION = Seconds(3600)
"""Upper bound on a correction, in seconds; more is taken for an error."""

MIN_CORRECTION = Seconds(0.2)
"""Lower bound on a correction, in seconds. The time that messages take makes
clocks seem to differ by less than this."""


@attrs.define
class WindowClock:
    """The time of day of one host, and the windows that it falls into.

    The time of day is read once. It is then continued by the clock since
    boot, so that later steps of the time of day have no effect. An error of the
    first reading is corrected by the median of the clocks of all hosts.

    Attributes:
        length: Length of a window, in seconds.
        offset: Time of day at the boot of the machine, in seconds since the
            Unix epoch.
    """

    length: Seconds
    offset: float

    def read(self, now: BootTime) -> float:
        """Return the time of day, in seconds since the Unix epoch.

        Args:
            now: The current time since boot.
        """
        return now + self.offset

    def get_window(self, at: float) -> WindowNumber:
        """Return the window of a time of day.

        Args:
            at: Seconds since the Unix epoch.
        """
        return WindowNumber(int(at // self.length))

    def get_end(self, window: WindowNumber) -> float:
        """Return the end of a window, in seconds since the Unix epoch.

        Args:
            window: The window.
        """
        return (window + 1) * self.length

    def correct(self, correction: Seconds) -> bool:
        """Move the time of day; return whether it was moved.

        Args:
            correction: What is added to it, in seconds.
        """
        if not MIN_CORRECTION <= abs(correction) <= MAX_CORRECTION:
            return False
        self.offset += correction
        return True


def compute_clock_error(leads: Iterable[Seconds]) -> Seconds:
    """Return how far a clock is ahead of most others, in seconds.

    Addresses hosts whose time of day was wrong when they started.

    Args:
        leads: How far the clock is ahead of each other one, in seconds.
    """
    ordered = sorted((Seconds(0), *leads))
    if len(ordered) < MIN_CLOCKS:
        return Seconds(0)
    # The module `statistics` would take more memory than this package.
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return Seconds((ordered[middle - 1] + ordered[middle]) / 2)
