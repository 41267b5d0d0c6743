"""Interface of the log service, independent of its transport."""

from collections.abc import Awaitable, Callable

import attrs

from ebonystream._ids import EpochMs, Offset, Seconds, StreamName


@attrs.frozen
class LogRecord:
    """One record of a stream.

    Attributes:
        offset: Its position in the stream.
        at_ms: Time at which it was appended, by the clock of the log service.
        body: Its content, one JSON value.
    """

    offset: Offset
    at_ms: EpochMs
    body: bytes


@attrs.frozen
class LogPage:
    """The result of one read of a stream.

    Attributes:
        first_offset: The oldest offset that the log still retains.
        next_offset: The offset that the next appended record will get.
        records: The records in the order of their offsets.
    """

    first_offset: Offset
    next_offset: Offset
    records: tuple[LogRecord, ...]


AppendRecord = Callable[[StreamName, bytes], Awaitable[Offset]]
"""Appends one JSON value to a stream and returns its offset.

Raises `EbonystreamError` of the kind `LOG_UNAVAILABLE` if there was no
response. The record may have been appended even so: read the stream before you
append again.
"""

ReadLog = Callable[[StreamName, Offset, Seconds], Awaitable[LogPage]]
"""Reads a stream from an offset on.

At the end of the stream, waits up to the given time for the next record.
Raises `EbonystreamError` of the kind `LOG_UNAVAILABLE`.
"""


@attrs.frozen
class LogService:
    """The operations of the log service.

    Attributes:
        append: Appends a record.
        read: Reads records.
    """

    append: AppendRecord
    read: ReadLog
