"""Tailing: a task that folds a stream of the log as it grows."""

from collections.abc import Callable

from ebonystream._ids import Offset, Seconds, StreamName
from ebonystream._timers import Timers
from ebonystream.errors import EbonystreamError
from ebonystream.platform import LogRecord, LogService

RETRY_PAUSE = Seconds(0.1)


async def tail_stream(
    *,
    log: LogService,
    stream: StreamName,
    get_next: Callable[[], Offset],
    fold: Callable[[LogRecord], None],
    wait: Seconds,
    timers: Timers,
) -> None:
    """Fold each record of a stream, for ever, through outages of the log.

    Args:
        log: The log service.
        stream: Which stream is read.
        get_next: Gives the offset of the next record to fold.
        fold: Takes one record into a state.
        wait: How long one read waits at the end of the stream, in seconds.
        timers: Sleeps between failed reads.
    """
    while True:
        try:
            page = await log.read(stream, get_next(), wait)
        except EbonystreamError:
            await timers.wait(RETRY_PAUSE)
            continue
        for record in page.records:
            fold(record)
