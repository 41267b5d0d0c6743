"""Rate-limited log output that never blocks."""

import os
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import attrs
import eliot
import msgspec

from ebonystream._ids import Monotonic
from ebonystream._timers import Timers

MAX_LINES_PER_SECOND = 300
MAX_BURST_LINES = 600
MAX_PENDING_LINES = 2000

WriteNonblocking = Callable[[bytes], int]
"""Write as many of the bytes as possible without blocking.

Return the number of bytes written, or raise `BlockingIOError` if none can be.
"""


class EventLogger(Protocol):
    """Write an event to the decision log."""

    def __call__(self, event: str, **fields: object) -> None:
        """Write one line.

        Args:
            event: Name of the decision or observation.
            fields: Inputs of the decision, with their age where it matters.
        """


@attrs.define
class LineBuffer:
    """Bounded buffer of log lines for an output that may be full.

    Attributes:
        write_nonblocking: Writes to the output without blocking.
        pending: Lines not yet written; the first may be the remainder of a
            line that was written in part.
        unreported_drops: Number of lines dropped since a line last reported it.
        total_drops: Total number of lines dropped.
    """

    write_nonblocking: WriteNonblocking
    pending: deque[bytes] = attrs.field(factory=deque)
    unreported_drops: int = 0
    total_drops: int = 0

    def count_drop(self) -> None:
        """Count a dropped line."""
        self.unreported_drops += 1
        self.total_drops += 1

    def write(self, line: bytes) -> None:
        """Write a line, or buffer it while the output is full.

        The line is dropped if the buffer is full too.

        Args:
            line: Line, including its line terminator.
        """
        if len(self.pending) >= MAX_PENDING_LINES:
            self.count_drop()
            return
        self.pending.append(line)
        self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as possible without blocking."""
        while self.pending:
            try:
                written = self.write_nonblocking(self.pending[0])
            except BlockingIOError:
                return
            remainder = self.pending.popleft()[written:]
            if remainder:
                self.pending.appendleft(remainder)
                return


@attrs.define
class _TokenBucket:
    """Token bucket that limits the rate of log lines.

    Attributes:
        tokens: Number of lines that may be written now.
        updated_at: Time at which tokens were last added.
    """

    tokens: float
    updated_at: Monotonic

    def take_token(self, now: Monotonic) -> bool:
        added = (now - self.updated_at) * MAX_LINES_PER_SECOND
        self.tokens = min(MAX_BURST_LINES, self.tokens + added)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def start_decision_log(descriptor: int) -> LineBuffer:
    """Direct the log to a file descriptor, without ever blocking on it.

    Args:
        descriptor: File descriptor to write to; set to non-blocking mode.
    """
    os.set_blocking(descriptor, False)
    buffer = LineBuffer(lambda line: os.write(descriptor, line))

    def write(message: dict[str, Any]) -> None:
        line = msgspec.json.encode(message, enc_hook=str)
        buffer.write(b'%b\n' % line)

    eliot.add_destinations(write)
    return buffer


def make_event_logger(*, timers: Timers, buffer: LineBuffer) -> EventLogger:
    """Return the function that writes events to the decision log.

    Lines above the rate limit are dropped and counted; the next line that is
    written reports the count.

    Args:
        timers: Source of the current time for the rate limit.
        buffer: Counts dropped lines.
    """
    bucket = _TokenBucket(tokens=MAX_BURST_LINES, updated_at=timers.now())

    def log_event(event: str, **fields: object) -> None:
        if not bucket.take_token(timers.now()):
            buffer.count_drop()
            return
        if buffer.unreported_drops:
            fields['lines_dropped'] = buffer.unreported_drops
            buffer.unreported_drops = 0
        eliot.log_message(event, **fields)

    return log_event
