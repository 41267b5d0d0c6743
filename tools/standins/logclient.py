"""Log service of an entry host, backed by a log store in the same process."""

from collections.abc import Awaitable, Callable

import msgspec

from ebonystream._ids import EpochMs, Offset, Seconds, StreamName
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.logservice import LogPage, LogRecord, LogService
from standins.logstore import (
    MS_PER_SECOND,
    LogStore,
    RateExceeded,
    ResponseLost,
    ServiceDown,
)

STORE_ERRORS = (ServiceDown, RateExceeded, ResponseLost)

WaitWhileSuspended = Callable[[], Awaitable[None]]
"""Waits until the calling host is not suspended."""


def make_log_client(
    store: LogStore, wait_while_suspended: WaitWhileSuspended
) -> LogService:
    """Make the log service of one entry host.

    Args:
        store: The log store.
        wait_while_suspended: Waits until the host is not suspended.
    """

    async def append(stream: StreamName, body: bytes) -> Offset:
        await wait_while_suspended()
        try:
            return Offset(await store.append(stream, msgspec.Raw(body)))
        except STORE_ERRORS as error:
            raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE) from error

    async def read(stream: StreamName, start: Offset, wait: Seconds) -> LogPage:
        await wait_while_suspended()
        try:
            page = await store.read(stream, start, wait_ms=wait * MS_PER_SECOND)
        except STORE_ERRORS as error:
            raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE) from error
        await wait_while_suspended()
        return LogPage(
            first_offset=Offset(page.first),
            next_offset=Offset(page.next),
            records=tuple(
                LogRecord(
                    Offset(record.offset),
                    EpochMs(record.at_ms),
                    bytes(record.value),
                )
                for record in page.records
            ),
        )

    return LogService(append=append, read=read)
