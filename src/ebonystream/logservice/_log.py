"""The log service as the system uses it, whatever carries it."""

from collections.abc import Awaitable, Callable

import attrs

from ebonystream._ids import EpochMs, Offset, Seconds, StreamName


@attrs.frozen
class LogRecord:
    """One record of a stream.

    Attributes:
        offset: Its place in the stream.
        at: When the log took it, by the log's own clock.
        body: One JSON value.
    """

    offset: Offset
    at: EpochMs
    body: bytes


@attrs.frozen
class LogPage:
    """What one read of a stream gave.

    Attributes:
        first: The oldest offset that the log still keeps.
        next: The offset that the next append gets.
        records: Records in the order of their offsets.
    """

    first: Offset
    next: Offset
    records: tuple[LogRecord, ...]


Append = Callable[[StreamName, bytes], Awaitable[Offset]]
"""Appends one JSON value and gives its offset.

Raises `EbonystreamError` of the kind `LOG_UNAVAILABLE` where no answer came;
the record may be there all the same, so read before you append again.
"""

ReadLog = Callable[[StreamName, Offset, Seconds], Awaitable[LogPage]]
"""Reads a stream from an offset on, waiting at its end that long.

Raises `EbonystreamError` of the kind `LOG_UNAVAILABLE`.
"""


@attrs.frozen
class LogService:
    """The two things that can be asked of the log service.

    Attributes:
        append: Appends a record.
        read: Reads records.
    """

    append: Append
    read: ReadLog
