"""Tailing of a log stream: reads records as they are appended."""

from collections.abc import Callable

from ebonystream._ids import Offset, Seconds, StreamName
from ebonystream._timers import Timers
from ebonystream.errors import EbonystreamError
from ebonystream.logservice import LogPage, LogRecord, LogService

RETRY_DELAY = Seconds(0.1)


async def tail_pages(
    *,
    log: LogService,
    stream: StreamName,
    get_next_offset: Callable[[], Offset],
    apply_page: Callable[[LogPage], None],
    max_wait: Seconds,
    timers: Timers,
) -> None:
    """Read and apply the pages of a stream until cancelled.

    A failed read is repeated after a delay, so that outages of the log are
    tolerated.

    Args:
        log: The log service.
        stream: The stream to read.
        get_next_offset: Returns the offset to read from.
        apply_page: Applies a page to the state.
        max_wait: How long a read waits for a record at the end of the stream,
            in seconds.
        timers: Source of the delay after a failed read.
    """
    while True:
        try:
            page = await log.read(stream, get_next_offset(), max_wait)
        except EbonystreamError:
            await timers.wait(RETRY_DELAY)
            continue
        apply_page(page)


def make_apply_page(
    fold: Callable[[LogRecord], None],
) -> Callable[[LogPage], None]:
    """Return a function that applies a page record by record.

    Args:
        fold: Applies one record to a state.
    """

    def apply_page(page: LogPage) -> None:
        for record in page.records:
            fold(record)

    return apply_page
