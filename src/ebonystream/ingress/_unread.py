"""Count of the bytes that clients sent and that are not read yet."""

from ebonystream._ids import Seconds
from ebonystream._timers import Timers
from ebonystream.ingress._open_connections import OpenConnections

COUNT_PERIOD = Seconds(0.5)
MIN_ACTIVE_REQUESTS = 8
"""Requests in hand below which nothing is counted: a connection is read unless
a request of it is handled, and a few connections hold little."""


async def bound_unread_bytes(
    connections: OpenConnections, timers: Timers
) -> None:
    """Bound the bytes that the kernel holds unread; never return.

    Args:
        connections: The open connections.
        timers: Clock of this process.
    """
    was_busy = False
    async for _ in timers.subscribe(period=COUNT_PERIOD):
        is_busy = connections.active_requests >= MIN_ACTIVE_REQUESTS
        if is_busy:
            connections.budget.count_unread()
        elif was_busy:
            connections.budget.forget_unread()
        was_busy = is_busy
