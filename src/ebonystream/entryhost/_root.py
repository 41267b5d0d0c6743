"""The composition root of an entry host on the users' platform."""

import os
import sys
import time
from pathlib import Path
from random import Random

import trio

from ebonystream._allocator import return_large_buffers
from ebonystream._ids import Incarnation, Seconds
from ebonystream._timers import Timers, make_timers
from ebonystream.decisionlog import make_event_logger, start_decision_log
from ebonystream.entryhost._client_limits import make_caller_connections
from ebonystream.entryhost._listening import start_listeners
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._reload import read_settings, reload_changed_settings
from ebonystream.entryhost._shutdown import stop_on_signal
from ebonystream.entryhost._sync_tasks import start_sync_tasks
from ebonystream.gossip import HostFactTable
from ebonystream.link import ConnectionPool, PoolLimits, ResponseBuffers
from ebonystream.platform import SETTINGS_VARIABLE
from ebonystream.suspects import SuspectExchange, SuspectTable

SERVER_POOL_LIMITS = PoolLimits(
    max_idle=4, idle_timeout=Seconds(8), connect_timeout=Seconds(0.25)
)
CLOSE_IDLE_PERIOD = Seconds(1)


def run_entry_host() -> None:
    """Run an entry host until a signal stops it."""
    return_large_buffers()
    path = Path(os.environ[SETTINGS_VARIABLE])
    trio.run(_run, path)


async def _run(path: Path) -> None:
    timers = make_timers(wall_clock=time.time)
    settings = read_settings(path)
    buffer = start_decision_log(sys.stdout.fileno())
    suspects = SuspectTable(timers)
    log_event = make_event_logger(timers=timers, buffer=buffer)
    async with trio.open_nursery() as nursery:
        parts = HostParts(
            settings=settings,
            timers=timers,
            random=Random(),
            log_event=log_event,
            log_buffer=buffer,
            background=nursery,
            server_pool=ConnectionPool(SERVER_POOL_LIMITS, timers),
            response_buffers=ResponseBuffers(
                settings.limits.response_buffer_bytes
            ),
            facts=HostFactTable(settings.name, settings.zone),
            suspects=suspects,
            suspect_exchange=SuspectExchange(suspects, timers, Random()),
            incarnation=_make_incarnation(timers),
            caller_connections=make_caller_connections(
                settings.limits, log_event
            ),
        )
        parts.log_event('started', host=settings.name, zone=settings.zone)
        await _start(parts, nursery, path)


def _make_incarnation(timers: Timers) -> Incarnation:
    """Make an incarnation that sorts after those of earlier starts."""
    return Incarnation(f'{timers.wall_ms():013d}')


async def _start(parts: HostParts, nursery: trio.Nursery, path: Path) -> None:
    await start_sync_tasks(parts, nursery)
    nursery.start_soon(reload_changed_settings, parts, path)
    caller_listener = await start_listeners(parts, nursery)
    nursery.start_soon(
        stop_on_signal, parts, caller_listener, nursery.cancel_scope
    )
    nursery.start_soon(_close_idle, parts)
    parts.log_event('listening')


async def _close_idle(parts: HostParts) -> None:
    async for _ in parts.timers.subscribe(period=CLOSE_IDLE_PERIOD):
        await parts.server_pool.close_expired()
