"""Kept connections to backend servers."""

from ebonystream._ids import Seconds
from ebonystream._timers import Timers
from ebonystream.entryhost._parts import HostParts
from ebonystream.link import ConnectionPool, PoolLimits

SERVER_POOL_LIMITS = PoolLimits(
    max_idle=4, idle_timeout=Seconds(8), connect_timeout=Seconds(0.25)
)
CLOSE_IDLE_PERIOD = Seconds(1)


def make_server_pool(timers: Timers) -> ConnectionPool:
    """Make the pool of connections to backend servers.

    Args:
        timers: Source of the current time.
    """
    return ConnectionPool(SERVER_POOL_LIMITS, timers)


async def close_idle_connections(parts: HostParts) -> None:
    """Close connections that have been idle for too long; never return.

    Args:
        parts: The state of the host.
    """
    async for _ in parts.timers.subscribe(period=CLOSE_IDLE_PERIOD):
        await parts.server_pool.close_expired()
