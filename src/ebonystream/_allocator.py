"""Settings of the C library's allocator.

Large buffers are taken from the system and given back to it one by one.
By default the allocator moves them into its heap once it has seen a few, and
bodies that were refused leave holes there that are not given back.
"""

import ctypes
from contextlib import suppress

M_MMAP_THRESHOLD = -3
"""Parameter of `mallopt` in the GNU C library."""

MMAP_THRESHOLD_BYTES = 262_144


def return_large_buffers() -> None:
    """Let the allocator give large buffers back to the system when freed."""
    with suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
