"""How long the last record of a host permits it to call the service."""

import attrs

from ebonystream._ids import BootTime, Offset
from ebonystream.duty._records import LeaseTimes

LONG_AGO = BootTime(float('-inf'))


@attrs.define
class Lease:
    """The lease of a host, counted from the start of the append.

    Attributes:
        times: Times that keep the calls of two holders apart.
        began_at: Start of the append of the last record, or of an earlier try
            that may have been executed instead.
    """

    times: LeaseTimes
    began_at: BootTime = LONG_AGO
    _tried_offset: Offset | None = None
    _tried_at: BootTime = LONG_AGO

    def begin_append(self, at: Offset, now: BootTime) -> None:
        """Note the start of an append, before it is sent.

        Args:
            at: Offset of the record.
            now: The current time.
        """
        if self._tried_offset != at:
            self._tried_offset = at
            self._tried_at = now
        self.began_at = now

    def read_back(self, end: Offset) -> None:
        """Note that the host's own record was read.

        Which of several tries was executed is not known, so that the first one
        counts.

        Args:
            end: End of the topic after the record.
        """
        was_tried = self._tried_offset == end - 1
        self.began_at = self._tried_at if was_tried else LONG_AGO

    def get_end(self) -> BootTime:
        """Return the time from which on the record permits no call."""
        return BootTime(self.began_at + self.times.act)
