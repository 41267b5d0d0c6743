"""Bound on the memory of the responses that are being received."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs

from ebonystream.errors import EbonystreamError, ErrorKind

DEFAULT_BUFFER_BYTES = 33_554_432


@attrs.define
class ResponseBuffers:
    """The bytes that all exchanges of a process have received and still hold.

    A server may send bytes without end. Once the bound is reached, an exchange
    that holds more than an equal share of it fails, so that small responses
    are still received. Together they hold less than twice the bound.

    Attributes:
        max_bytes: The bound, over all exchanges.
        used_bytes: Bytes held now.
        peak_bytes: The largest number of bytes held so far.
        exchange_count: Number of exchanges that are receiving.
    """

    max_bytes: int = DEFAULT_BUFFER_BYTES
    used_bytes: int = 0
    peak_bytes: int = 0
    exchange_count: int = 0

    @contextmanager
    def open_share(self) -> Iterator['BufferShare']:
        """Open the share of one exchange; its bytes are released at the end."""
        share = BufferShare(self)
        self.exchange_count += 1
        try:
            yield share
        finally:
            self.exchange_count -= 1
            self.used_bytes -= share.held_bytes


@attrs.define
class BufferShare:
    """The bytes that one exchange holds.

    Attributes:
        buffers: The bytes of all exchanges.
        held_bytes: Bytes that this exchange has received.
    """

    buffers: ResponseBuffers
    held_bytes: int = 0

    def add(self, size: int) -> None:
        """Add received bytes.

        Args:
            size: Number of bytes.

        Raises:
            EbonystreamError: The bound is reached, and this exchange holds more
                than an equal share of it.
        """
        buffers = self.buffers
        self.held_bytes += size
        buffers.used_bytes += size
        buffers.peak_bytes = max(buffers.peak_bytes, buffers.used_bytes)
        equal_share = buffers.max_bytes / buffers.exchange_count
        is_full = buffers.used_bytes > buffers.max_bytes
        if is_full and self.held_bytes > equal_share:
            raise EbonystreamError(
                ErrorKind.BODY_TOO_LARGE,
                f'more than {buffers.max_bytes} bytes in all responses',
            )
