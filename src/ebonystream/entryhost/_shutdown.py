"""Graceful shutdown, which lets the requests in flight complete."""

import signal

import attrs
import trio

from ebonystream._ids import Monotonic, Seconds
from ebonystream.entryhost._parts import HostParts

UNREADY_NOTICE_TIME = Seconds(2.6)
"""How long the platform may take to stop sending requests to a host that is not
ready, in seconds: two readiness checks a second apart, and the transmission."""

MAX_NOTICE_SHARE = 0.5
"""Largest share of the grace period in which new connections are accepted."""

FINAL_SHARE = 1 / 6
"""Last share of the grace period. A request is not sent to a server any more,
as it would hardly be completed."""

EXIT_MARGIN = Seconds(0.4)
"""How long before the end of the grace period the host exits, in seconds."""

MAX_EXIT_MARGIN_SHARE = FINAL_SHARE / 2
"""Largest share of the grace period that the margin may take."""

REQUESTS_CHECK_PERIOD = Seconds(0.05)


@attrs.frozen(kw_only=True)
class ShutdownTimes:
    """Times of the stages of a shutdown, in seconds since the signal.

    Attributes:
        close_listener: When the host stops to accept connections and
            requests.
        stop_searches: When it stops to send requests to servers.
        exit: When it exits at the latest.
    """

    close_listener: Seconds
    stop_searches: Seconds
    exit: Seconds


def compute_shutdown_times(grace: Seconds) -> ShutdownTimes:
    """Compute the times of the stages of a shutdown.

    Args:
        grace: How long the host may take to shut down, in seconds.
    """
    margin = min(EXIT_MARGIN, grace * MAX_EXIT_MARGIN_SHARE)
    return ShutdownTimes(
        close_listener=Seconds(
            min(UNREADY_NOTICE_TIME, grace * MAX_NOTICE_SHARE)
        ),
        stop_searches=Seconds(grace * (1 - FINAL_SHARE)),
        exit=Seconds(grace - margin),
    )


async def stop_on_signal(
    parts: HostParts,
    caller_listener: trio.CancelScope,
    all_tasks: trio.CancelScope,
) -> None:
    """Wait for a signal to stop, then shut this host down gracefully.

    Args:
        parts: The state of the host.
        caller_listener: Cancel scope of the listener for callers.
        all_tasks: Cancel scope of all tasks; cancelled at the end.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for signal_number in signals:
            parts.log_event('stopping', signal=signal_number)
            break
    started_at = parts.timers.now()
    times = compute_shutdown_times(parts.settings.limits.shutdown_grace)
    parts.leaving.set()
    parts.caller_connections.close_after_response = True
    await parts.timers.wait(times.close_listener)
    caller_listener.cancel()
    parts.caller_connections.close_idle()
    await _wait_for_requests(parts, Monotonic(started_at + times.stop_searches))
    parts.searches.stop()
    await _wait_for_requests(parts, Monotonic(started_at + times.exit))
    for run_last_task in parts.last_tasks:
        await run_last_task()
    parts.log_event(
        'stopped',
        took_s=parts.timers.now() - started_at,
        still_serving=parts.caller_connections.active_requests,
    )
    all_tasks.cancel()


async def _wait_for_requests(parts: HostParts, until: Monotonic) -> None:
    """Wait until no caller has an open request, but no longer than a time."""
    with trio.move_on_at(until):
        while parts.caller_connections.has_requests():
            await parts.timers.wait(REQUESTS_CHECK_PERIOD)
