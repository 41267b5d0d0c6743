"""Tasks that go on after an error that no other code handles."""

from collections.abc import Awaitable, Callable

import trio

from ebonystream._ids import Seconds
from ebonystream._validation import MAX_QUOTED_LENGTH
from ebonystream.entryhost._parts import HostParts
from ebonystream.placement import Probe, ProbeResult
from ebonystream.roster import KnownServer

RESTART_DELAY = Seconds(0.5)
"""Delay before a failed task is started again, in seconds."""

MAX_CAUSE_LENGTH = 4 * MAX_QUOTED_LENGTH

RunTask = Callable[[], Awaitable[None]]


async def run_supervised(
    parts: HostParts, name: str, run_task: RunTask
) -> None:
    """Run a task, and start it again whenever it fails.

    An error ends neither this host nor its other tasks: it is logged with its
    cause and counted.

    Args:
        parts: The state of the host.
        name: The name of the task in the log.
        run_task: Runs the task.
    """
    while True:
        try:
            return await run_task()
        except Exception as error:
            record_failed_task(parts, name, error)
        await parts.timers.wait(RESTART_DELAY)


def supervise_probe(parts: HostParts, probe: Probe) -> Probe:
    """Return a probe that has no result if it fails.

    Probes run in the nursery of this host, which any error would end.

    Args:
        parts: The state of the host.
        probe: Probes one server.
    """

    async def probe_supervised(server: KnownServer) -> ProbeResult:
        sent_at = parts.timers.now()
        try:
            return await probe(server)
        except Exception as error:
            record_failed_task(parts, 'probe', error)
        await trio.lowlevel.checkpoint()
        return ProbeResult(server, None, sent_at)

    return probe_supervised


def record_failed_task(parts: HostParts, name: str, error: Exception) -> None:
    """Log the cause of a failed task, and count it.

    Args:
        parts: The state of the host.
        name: The name of the task.
        error: The error that ended it.
    """
    parts.metrics.failed_tasks.increment(name)
    parts.log_event(
        'task_failed', task=name, why=repr(error)[:MAX_CAUSE_LENGTH]
    )
