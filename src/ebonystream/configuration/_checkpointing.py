"""Checkpoints: the state is written again before its records expire."""

from random import Random

import msgspec

from ebonystream._ids import EpochMs, Offset, Seconds, StreamName
from ebonystream._timers import MS_PER_SECOND, Timers
from ebonystream.configuration._control import Control
from ebonystream.configuration._progress import FIRST_OFFSET, Following
from ebonystream.configuration._records import Checkpoint
from ebonystream.configuration._state import dump_folded
from ebonystream.errors import EbonystreamError
from ebonystream.logservice import LogService

DUE_SHARE = 0.5
"""The share of the retention after which a checkpoint is due. The other half
is there for outages of the log and for clocks that differ."""

CHECK_SHARE = 0.01
"""The share of the retention between two looks."""


async def write_checkpoints(
    *,
    control: Control,
    log: LogService,
    stream: StreamName,
    retention: Seconds,
    timers: Timers,
    random: Random,
) -> None:
    """Write a checkpoint whenever one is due, for ever.

    Hosts look at times of their own, so that mostly one of them writes; a
    second one stands behind the first, is void, and does no harm.

    Args:
        control: The state that this host folds.
        log: The log service.
        stream: The control stream.
        retention: How long the log keeps a record, in seconds.
        timers: Tells the time.
        random: The seeded source of random choices.
    """
    while True:
        share = random.uniform(CHECK_SHARE / 2, CHECK_SHARE)
        await timers.wait(Seconds(share * retention))
        if is_due(control, retention=retention, now_ms=timers.wall_ms()):
            await _write(control, log, stream)


def is_due(control: Control, *, retention: Seconds, now_ms: EpochMs) -> bool:
    """Tell whether the state has to be written to the log again.

    Args:
        control: The state that this host folds.
        retention: How long the log keeps a record, in seconds.
        now_ms: The wall clock.
    """
    progress = control.progress
    if progress.following is Following.LACKING or not progress.caught_up:
        return False
    if progress.next == FIRST_OFFSET:
        return False
    if progress.base_ms is None:
        return True
    age = (now_ms - progress.base_ms) / MS_PER_SECOND
    return age > DUE_SHARE * retention


async def _write(control: Control, log: LogService, stream: StreamName) -> None:
    state = dump_folded(control.folded, Offset(control.next))
    try:
        await log.append(stream, msgspec.json.encode(Checkpoint(state)))
    except EbonystreamError:
        # The next look writes again; the half retention that is left covers
        # outages.
        return
