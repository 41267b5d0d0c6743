"""Checkpoints: the state is appended before the log expires its records."""

from random import Random

import msgspec

from ebonystream._ids import EpochMs, Offset, Seconds, StreamName
from ebonystream._timers import MS_PER_SECOND, Timers
from ebonystream.configuration._control import ControlReplica
from ebonystream.configuration._progress import FIRST_OFFSET, Following
from ebonystream.configuration._records import Checkpoint
from ebonystream.configuration._state import dump_state
from ebonystream.errors import EbonystreamError
from ebonystream.logservice import LogService

DUE_RETENTION_SHARE = 0.5
"""Age of the latest checkpoint, as a share of the retention, at which the next
one is due. The other half of the retention allows for outages of the log and
for clock skew."""

CHECK_RETENTION_SHARE = 0.01
"""Longest interval between two checks, as a share of the retention."""


async def write_checkpoints(
    *,
    control: ControlReplica,
    log: LogService,
    stream: StreamName,
    retention: Seconds,
    timers: Timers,
    random: Random,
) -> None:
    """Append a checkpoint whenever one is due; runs until it is cancelled.

    Hosts check at random intervals, so that usually just one of them appends.
    A concurrent second checkpoint gets a later offset than its state has, so it
    is void and harmless.

    Args:
        control: The control state of this host.
        log: The log service.
        stream: The control stream.
        retention: How long the log retains a record, in seconds.
        timers: Source of the current time and of delays.
        random: Seeded source of random numbers.
    """
    while True:
        share = random.uniform(CHECK_RETENTION_SHARE / 2, CHECK_RETENTION_SHARE)
        await timers.wait(Seconds(share * retention))
        if is_due(control, retention=retention, now_ms=timers.wall_ms()):
            await _append_checkpoint(control, log, stream)


def is_due(
    control: ControlReplica, *, retention: Seconds, now_ms: EpochMs
) -> bool:
    """Return whether the next checkpoint is due.

    Args:
        control: The control state of this host.
        retention: How long the log retains a record, in seconds.
        now_ms: The wall-clock time.
    """
    progress = control.progress
    if (
        progress.following is Following.MISSING_RECORDS
        or not progress.caught_up
    ):
        return False
    if progress.next_offset == FIRST_OFFSET:
        return False
    if progress.base_ms is None:
        return True
    age = (now_ms - progress.base_ms) / MS_PER_SECOND
    return age > DUE_RETENTION_SHARE * retention


async def _append_checkpoint(
    control: ControlReplica, log: LogService, stream: StreamName
) -> None:
    state = dump_state(control.folded_state, Offset(control.next_offset))
    try:
        await log.append(stream, msgspec.json.encode(Checkpoint(state)))
    except EbonystreamError:
        # The next check tries again; the remaining half of the retention
        # allows for outages.
        return
