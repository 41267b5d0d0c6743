"""The composition root of an entry host on the users' platform."""

import os
import sys
import time
from pathlib import Path
from random import Random

import trio

from ebonystream._ids import Incarnation, Seconds
from ebonystream._timers import Timers, make_timers
from ebonystream.decisionlog import make_event_logger, start_decision_log
from ebonystream.entryhost._leaving import stop_on_signal
from ebonystream.entryhost._listening import open_addresses
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._reload import follow_settings, read_settings
from ebonystream.entryhost._sync_tasks import start_sync_tasks
from ebonystream.gossip import HostFactTable
from ebonystream.link import ConnectionPool, PoolLimits
from ebonystream.platform import SETTINGS_VARIABLE
from ebonystream.suspects import SuspectExchange, SuspectTable

SERVER_LINKS = PoolLimits(
    max_idle=4, idle_timeout=Seconds(8), connect_timeout=Seconds(0.25)
)
CLOSE_IDLE_PERIOD = Seconds(1)


def run_entry_host() -> None:
    """Run an entry host until it is told to stop."""
    path = Path(os.environ[SETTINGS_VARIABLE])
    trio.run(_run, path)


async def _run(path: Path) -> None:
    timers = make_timers(wall_clock=time.time)
    settings = read_settings(path)
    buffer = start_decision_log(sys.stdout.fileno())
    suspects = SuspectTable(timers)
    async with trio.open_nursery() as nursery:
        parts = HostParts(
            settings=settings,
            timers=timers,
            random=Random(),
            note=make_event_logger(timers=timers, buffer=buffer),
            log=buffer,
            background=nursery,
            servers_pool=ConnectionPool(SERVER_LINKS, timers),
            facts=HostFactTable(settings.name, settings.zone),
            suspects=suspects,
            crash_notes=SuspectExchange(suspects, timers, Random()),
            incarnation=_make_incarnation(timers),
        )
        parts.note('started', host=settings.name, zone=settings.zone)
        await _start(parts, nursery, path)


def _make_incarnation(timers: Timers) -> Incarnation:
    """Name this run, so that the names of later runs sort behind it."""
    return Incarnation(f'{timers.wall_ms():013d}')


async def _start(parts: HostParts, nursery: trio.Nursery, path: Path) -> None:
    await start_sync_tasks(parts, nursery)
    nursery.start_soon(follow_settings, parts, path)
    callers = await open_addresses(parts, nursery)
    nursery.start_soon(stop_on_signal, parts, callers, nursery.cancel_scope)
    nursery.start_soon(_close_idle, parts)
    parts.note('listening')


async def _close_idle(parts: HostParts) -> None:
    async for _ in parts.timers.subscribe(period=CLOSE_IDLE_PERIOD):
        await parts.servers_pool.close_expired()
