"""Tailing: a task that reads a stream of the log as it grows."""

from collections.abc import Callable

from ebonystream._ids import Offset, Seconds, StreamName
from ebonystream._timers import Timers
from ebonystream.errors import EbonystreamError
from ebonystream.logservice import LogPage, LogRecord, LogService

RETRY_PAUSE = Seconds(0.1)


async def tail_pages(
    *,
    log: LogService,
    stream: StreamName,
    get_next: Callable[[], Offset],
    take: Callable[[LogPage], None],
    wait: Seconds,
    timers: Timers,
) -> None:
    """Take each page of a stream, for ever, through outages of the log.

    Args:
        log: The log service.
        stream: Which stream is read.
        get_next: Gives the offset to read from.
        take: Takes one page into a state.
        wait: How long one read waits at the end of the stream, in seconds.
        timers: Sleeps between failed reads.
    """
    while True:
        try:
            page = await log.read(stream, get_next(), wait)
        except EbonystreamError:
            await timers.wait(RETRY_PAUSE)
            continue
        take(page)


def take_each(fold: Callable[[LogRecord], None]) -> Callable[[LogPage], None]:
    """Make what takes a page record by record.

    Args:
        fold: Takes one record into a state.
    """

    def take(page: LogPage) -> None:
        for record in page.records:
            fold(record)

    return take
