"""Bound on the listings that one host sends to others."""

import attrs

from ebonystream._ids import Monotonic

LISTING_BYTES_PER_S = 1_000_000
"""Bytes of listings that a host sends in a second. Two large ones then share
the slowest link for less than the timeout of a fetch."""

MAX_BACKLOG_BYTES = 262_144
"""Bytes that may be on their way already as a further listing is sent."""


@attrs.define
class ListingPace:
    """Decides whether a host sends a listing now.

    The load that this addresses is that of a large configuration that all
    hosts of a zone fetch from one at the same time: all transfers share its
    link, time out and start anew. With the bound a few hosts have it soon, and
    the others fetch it from these.

    Attributes:
        free_at: When the listings that were sent have left the host, at the
            pace.
    """

    free_at: Monotonic = Monotonic(0)

    def try_send(self, size: int, now: Monotonic) -> bool:
        """Record a listing to be sent, or return false if it has to wait.

        Args:
            size: Size of the listing, in bytes.
            now: The current time.
        """
        backlog = max(0, self.free_at - now)
        if backlog * LISTING_BYTES_PER_S > MAX_BACKLOG_BYTES:
            return False
        duration = size / LISTING_BYTES_PER_S
        self.free_at = Monotonic(now + backlog + duration)
        return True
