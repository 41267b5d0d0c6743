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

LINES_PER_SECOND = 300
LINES_AT_ONCE = 600
MAX_WAITING_LINES = 2000

WriteSome = Callable[[bytes], int]
"""Write as many of the bytes as possible without blocking.

Return the number of bytes written, or raise `BlockingIOError` if none can be.
"""


class Note(Protocol):
    """Write an event to the decision log."""

    def __call__(self, event: str, **fields: object) -> None:
        """Write one line.

        Args:
            event: Name of the decision or observation.
            fields: Inputs of the decision, with their age where it matters.
        """


@attrs.define
class OutputBuffer:
    """Bounded buffer of log lines for an output that may be full.

    Attributes:
        write_some: Writes to the output without blocking.
        waiting: Lines not yet written; the first may be the remainder of a
            line that was written in part.
        dropped: Number of lines dropped since a line last reported it.
        dropped_ever: Total number of lines dropped.
    """

    write_some: WriteSome
    waiting: deque[bytes] = attrs.field(factory=deque)
    dropped: int = 0
    dropped_ever: int = 0

    def drop(self) -> None:
        """Count a dropped line."""
        self.dropped += 1
        self.dropped_ever += 1

    def put(self, line: bytes) -> None:
        """Write a line, or buffer it while the output is full.

        The line is dropped if the buffer is full too.

        Args:
            line: Line, including its line terminator.
        """
        if len(self.waiting) >= MAX_WAITING_LINES:
            self.drop()
            return
        self.waiting.append(line)
        self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as possible without blocking."""
        while self.waiting:
            try:
                written = self.write_some(self.waiting[0])
            except BlockingIOError:
                return
            remainder = self.waiting.popleft()[written:]
            if remainder:
                self.waiting.appendleft(remainder)
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
        added = (now - self.updated_at) * LINES_PER_SECOND
        self.tokens = min(LINES_AT_ONCE, self.tokens + added)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def start_decision_log(descriptor: int) -> OutputBuffer:
    """Direct the log to a file descriptor, without ever blocking on it.

    Args:
        descriptor: File descriptor to write to; set to non-blocking mode.
    """
    os.set_blocking(descriptor, False)
    buffer = OutputBuffer(lambda line: os.write(descriptor, line))

    def write(message: dict[str, Any]) -> None:
        line = msgspec.json.encode(message, enc_hook=str)
        buffer.put(b'%b\n' % line)

    eliot.add_destinations(write)
    return buffer


def make_note(*, timers: Timers, buffer: OutputBuffer) -> Note:
    """Return the function that writes events to the decision log.

    Lines above the rate limit are dropped and counted; the next line that is
    written reports the count.

    Args:
        timers: Source of the current time for the rate limit.
        buffer: Counts dropped lines.
    """
    bucket = _TokenBucket(tokens=LINES_AT_ONCE, updated_at=timers.now())

    def log_event(event: str, **fields: object) -> None:
        if not bucket.take_token(timers.now()):
            buffer.drop()
            return
        if buffer.dropped:
            fields['lines_dropped'] = buffer.dropped
            buffer.dropped = 0
        eliot.log_message(event, **fields)

    return log_event
