"""Log lines that never block and are bounded in number."""

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
"""Writes a part of some bytes without waiting; gives how many."""


class EventLogger(Protocol):
    """Writes one line of the decision log."""

    def __call__(self, event: str, **fields: object) -> None:
        """Write a line.

        Args:
            event: What was decided or learned.
            fields: With which inputs, and how old they are.
        """


@attrs.define
class LineBuffer:
    """Lines on their way out.

    Attributes:
        write_nonblocking: Writes without waiting.
        pending: Lines, or the rest of one, that could not be written yet.
        unreported_drops: Lines that found no room since the last line that told so.
        total_drops: All lines that found no room.
    """

    write_nonblocking: WriteNonblocking
    pending: deque[bytes] = attrs.field(factory=deque)
    unreported_drops: int = 0
    total_drops: int = 0

    def count_drop(self) -> None:
        """Count a line that finds no room."""
        self.unreported_drops += 1
        self.total_drops += 1

    def write(self, line: bytes) -> None:
        """Write a line now, or keep it where that would wait.

        Args:
            line: The line with its end.
        """
        if len(self.pending) >= MAX_PENDING_LINES:
            self.count_drop()
            return
        self.pending.append(line)
        self.flush()

    def flush(self) -> None:
        """Write as much as goes without waiting."""
        while self.pending:
            try:
                written = self.write_nonblocking(self.pending[0])
            except BlockingIOError:
                return
            rest = self.pending.popleft()[written:]
            if rest:
                self.pending.appendleft(rest)
                return


@attrs.define
class _Allowance:
    """A token bucket: how many lines may be written now."""

    tokens: float
    since: Monotonic

    def take(self, now: Monotonic) -> bool:
        gained = (now - self.since) * MAX_LINES_PER_SECOND
        self.tokens = min(MAX_BURST_LINES, self.tokens + gained)
        self.since = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def start_decision_log(descriptor: int) -> LineBuffer:
    """Send the log's lines to a file descriptor, without ever waiting.

    Args:
        descriptor: Such as that of the standard output.
    """
    os.set_blocking(descriptor, False)
    buffer = LineBuffer(lambda line: os.write(descriptor, line))

    def write(message: dict[str, Any]) -> None:
        line = msgspec.json.encode(message, enc_hook=str)
        buffer.write(b'%b\n' % line)

    eliot.add_destinations(write)
    return buffer


def make_event_logger(*, timers: Timers, buffer: LineBuffer) -> EventLogger:
    """Make the function that writes one line.

    Lines beyond the allowed number are counted, and the next line tells how
    many were left out.

    Args:
        timers: Tells the time.
        buffer: Counts what is dropped.
    """
    allowance = _Allowance(tokens=MAX_BURST_LINES, since=timers.now())

    def note(event: str, **fields: object) -> None:
        if not allowance.take(timers.now()):
            buffer.count_drop()
            return
        if buffer.unreported_drops:
            fields['lines_dropped'] = buffer.unreported_drops
            buffer.unreported_drops = 0
        eliot.log_message(event, **fields)

    return note
