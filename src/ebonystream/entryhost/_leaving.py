"""Stopping: no request is cut, and the platform has time to notice."""

import signal

import trio

from ebonystream._ids import Seconds
from ebonystream.entryhost._parts import HostParts

NOTICE = Seconds(2.6)
"""How long the platform may take to send nothing new to a host that isn't
ready: two questions a second apart, and the way."""

EXIT_MARGIN = Seconds(0.4)
"""How long before the end of the grace this host is gone."""

LOOK_PERIOD = Seconds(0.05)


async def stop_on_signal(
    parts: HostParts,
    listener: trio.CancelScope,
    whole: trio.CancelScope,
) -> None:
    """Stop this host gracefully once it is told to.

    Args:
        parts: The state of the host.
        listener: Accepts connections of callers.
        whole: Everything; it is cancelled at the end.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            parts.note('stopping', signal=number)
            break
    began = parts.timers.now()
    parts.leaving.set()
    parts.connections.close_after_response = True
    await parts.timers.wait(NOTICE)
    listener.cancel()
    parts.connections.close_idle()
    grace = parts.settings.bounds.grace
    with trio.move_on_at(began + grace - EXIT_MARGIN):
        while parts.connections.active_requests:
            await parts.timers.wait(LOOK_PERIOD)
    parts.note(
        'stopped',
        took_s=parts.timers.now() - began,
        still_serving=parts.connections.active_requests,
    )
    whole.cancel()
