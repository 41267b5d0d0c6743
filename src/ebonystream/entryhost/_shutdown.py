"""Graceful shutdown, which lets the requests in flight complete."""

import signal

import trio

from ebonystream._ids import Seconds
from ebonystream.entryhost._parts import HostParts

UNREADY_NOTICE_TIME = Seconds(2.6)
"""How long the platform may take to stop sending requests to a host that is not
ready, in seconds: two readiness checks a second apart, and the transmission."""

EXIT_MARGIN = Seconds(0.4)
"""How long before the end of the grace period the host exits, in seconds."""

REQUESTS_CHECK_PERIOD = Seconds(0.05)


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
    parts.leaving.set()
    parts.caller_connections.close_after_response = True
    await parts.timers.wait(UNREADY_NOTICE_TIME)
    caller_listener.cancel()
    parts.caller_connections.close_idle()
    grace = parts.settings.limits.shutdown_grace
    with trio.move_on_at(started_at + grace - EXIT_MARGIN):
        while parts.caller_connections.active_requests:
            await parts.timers.wait(REQUESTS_CHECK_PERIOD)
    parts.log_event(
        'stopped',
        took_s=parts.timers.now() - started_at,
        still_serving=parts.caller_connections.active_requests,
    )
    all_tasks.cancel()
