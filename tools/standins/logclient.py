"""The log store as an entry host's log service, in one process."""

from collections.abc import Awaitable, Callable

import msgspec

from ebonystream._ids import EpochMs, Offset, Seconds, StreamName
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.logservice import LogPage, LogRecord, LogService
from standins.logstore import (
    MS_PER_SECOND,
    AnswerLost,
    LogStore,
    RateExceeded,
    ServiceDown,
)

FAILURES = (ServiceDown, RateExceeded, AnswerLost)

Gate = Callable[[], Awaitable[None]]
"""Waits while the host that asks is held."""


def make_log_client(store: LogStore, gate: Gate) -> LogService:
    """Make the log service that one entry host uses.

    Args:
        store: The log itself.
        gate: Waits while the host is held.
    """

    async def append(stream: StreamName, body: bytes) -> Offset:
        await gate()
        try:
            return Offset(await store.append(stream, msgspec.Raw(body)))
        except FAILURES as error:
            raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE) from error

    async def read(stream: StreamName, start: Offset, wait: Seconds) -> LogPage:
        await gate()
        try:
            page = await store.read(stream, start, wait_ms=wait * MS_PER_SECOND)
        except FAILURES as error:
            raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE) from error
        await gate()
        return LogPage(
            first_offset=Offset(page.first),
            next_offset=Offset(page.next),
            records=tuple(
                LogRecord(
                    Offset(one.offset), EpochMs(one.at_ms), bytes(one.value)
                )
                for one in page.records
            ),
        )

    return LogService(append=append, read=read)
