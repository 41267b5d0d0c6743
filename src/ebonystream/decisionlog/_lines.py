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

LINES_PER_SECOND = 300
LINES_AT_ONCE = 600
MAX_WAITING_LINES = 2000

WriteSome = Callable[[bytes], int]
"""Writes a part of some bytes without waiting; gives how many."""


class Note(Protocol):
    """Writes one line of the decision log."""

    def __call__(self, event: str, **fields: object) -> None:
        """Write a line.

        Args:
            event: What was decided or learned.
            fields: With which inputs, and how old they are.
        """


@attrs.define
class OutputBuffer:
    """Lines on their way out.

    Attributes:
        write_some: Writes without waiting.
        waiting: Lines, or the rest of one, that could not be written yet.
        dropped: Lines that found no room since the last line that told so.
        dropped_ever: All lines that found no room.
    """

    write_some: WriteSome
    waiting: deque[bytes] = attrs.field(factory=deque)
    dropped: int = 0
    dropped_ever: int = 0

    def drop(self) -> None:
        """Count a line that finds no room."""
        self.dropped += 1
        self.dropped_ever += 1

    def put(self, line: bytes) -> None:
        """Write a line now, or keep it where that would wait.

        Args:
            line: The line with its end.
        """
        if len(self.waiting) >= MAX_WAITING_LINES:
            self.drop()
            return
        self.waiting.append(line)
        self.flush()

    def flush(self) -> None:
        """Write as much as goes without waiting."""
        while self.waiting:
            try:
                written = self.write_some(self.waiting[0])
            except BlockingIOError:
                return
            rest = self.waiting.popleft()[written:]
            if rest:
                self.waiting.appendleft(rest)
                return


@attrs.define
class _Allowance:
    """A token bucket: how many lines may be written now."""

    tokens: float
    since: Monotonic

    def take(self, now: Monotonic) -> bool:
        gained = (now - self.since) * LINES_PER_SECOND
        self.tokens = min(LINES_AT_ONCE, self.tokens + gained)
        self.since = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def start_decision_log(descriptor: int) -> OutputBuffer:
    """Send the log's lines to a file descriptor, without ever waiting.

    Args:
        descriptor: Such as that of the standard output.
    """
    os.set_blocking(descriptor, False)
    buffer = OutputBuffer(lambda line: os.write(descriptor, line))

    def write(message: dict[str, Any]) -> None:
        line = msgspec.json.encode(message, enc_hook=str)
        buffer.put(b'%b\n' % line)

    eliot.add_destinations(write)
    return buffer


def make_note(*, timers: Timers, buffer: OutputBuffer) -> Note:
    """Make the function that writes one line.

    Lines beyond the allowed number are counted, and the next line tells how
    many were left out.

    Args:
        timers: Tells the time.
        buffer: Counts what is dropped.
    """
    allowance = _Allowance(tokens=LINES_AT_ONCE, since=timers.now())

    def note(event: str, **fields: object) -> None:
        if not allowance.take(timers.now()):
            buffer.drop()
            return
        if buffer.dropped:
            fields['lines_dropped'] = buffer.dropped
            buffer.dropped = 0
        eliot.log_message(event, **fields)

    return note
