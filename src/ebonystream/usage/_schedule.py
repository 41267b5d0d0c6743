"""When counts are sent and a window is reported, relative to its windows."""

import attrs

from ebonystream._ids import Seconds, WindowNumber
from ebonystream.usage._clock import WindowClock

LATE_SHARE = 0.3
"""Share of the time allowed for a report after which hosts send late results.
With 10 s it is 3 s, and requests last up to 4 s at most."""

REPORT_SHARE = 0.4
"""Share of it after which the window is reported if all hosts have sent."""

LAST_REPORT_SHARE = 0.52
"""Share of it after which the window is reported although a host is missing."""

OVERDUE_SHARE = 0.55
"""Share of it after which other hosts take the holder for lost."""

SPREAD_SHARE = 0.07
"""Share of it over which the hosts spread their messages, so that the holder
does not get the messages of 300 hosts at once. It ends before the report."""


@attrs.frozen
class UsageSchedule:
    """Times of the messages and the report of a window.

    Attributes:
        clock: The time of day.
        late: How long after the end of a window its report is due, in
            seconds.
    """

    clock: WindowClock
    late: Seconds

    def get_late_send(self, window: WindowNumber) -> float:
        """Return when hosts send the late results of a window.

        Args:
            window: The window.
        """
        return self.clock.get_end(window) + self.late * LATE_SHARE

    def get_report(self, window: WindowNumber) -> float:
        """Return when a window is reported if all hosts have sent.

        Args:
            window: The window.
        """
        return self.clock.get_end(window) + self.late * REPORT_SHARE

    def get_last_report(self, window: WindowNumber) -> float:
        """Return when a window is reported although a host is missing.

        Args:
            window: The window.
        """
        return self.clock.get_end(window) + self.late * LAST_REPORT_SHARE

    def is_overdue(self, window: WindowNumber, now: float) -> bool:
        """Return whether the holder of the duty seems to be lost.

        Args:
            window: The window after the newest reported one.
            now: The current time of day.
        """
        due = self.clock.get_end(window) + self.late * OVERDUE_SHARE
        return now > due

    def get_first_window_due_after(self, at: float) -> WindowNumber:
        """Return the first window that nobody has reported by a time of day.

        Args:
            at: Seconds since the Unix epoch.
        """
        return self.clock.get_window(at - self.late * REPORT_SHARE + 1)

    def get_next_send(self, now: float, spread: float) -> float:
        """Return when a host sends its counts next.

        It does so at the end of each window, and about half a window later: the
        late results of that window, with what the next one has so far.

        Args:
            now: The current time of day.
            spread: Number from 0 to 1 that differs between hosts.
        """
        length = self.clock.length
        delay = spread * self.late * SPREAD_SHARE
        half = self.late * LATE_SHARE % length
        start = self.clock.get_window(now - delay) * length + delay
        times = (start, start + half, start + length, start + length + half)
        return min(at for at in times if at > now)
