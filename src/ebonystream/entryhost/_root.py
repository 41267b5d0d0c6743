"""The composition root of an entry host on the users' platform."""

import os
import sys
import time
from functools import partial
from pathlib import Path
from random import Random

import trio

from ebonystream._timers import make_timers
from ebonystream.decisionlog import make_event_logger, start_decision_log
from ebonystream.entryhost._client_limits import make_caller_connections
from ebonystream.entryhost._listening import start_listeners
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._process import prepare_process
from ebonystream.entryhost._reload import read_settings, reload_changed_settings
from ebonystream.entryhost._server_pool import (
    close_idle_connections,
    make_server_pool,
)
from ebonystream.entryhost._shutdown import stop_on_signal
from ebonystream.entryhost._sync_tasks import start_sync_tasks
from ebonystream.gossip import HostFactTable
from ebonystream.link import ResponseBuffers
from ebonystream.suspects import SuspectExchange, SuspectTable


def run_entry_host() -> None:
    """Run an entry host until a signal stops it.

    Raises:
        ValueError: A setting is invalid.
    """
    trio.run(_run, prepare_process(os.environ))


async def _run(path: Path) -> None:
    timers = make_timers(
        wall_clock=time.time,
        boot_clock=partial(time.clock_gettime, time.CLOCK_BOOTTIME),
    )
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
            server_pool=make_server_pool(timers),
            response_buffers=ResponseBuffers(
                settings.limits.response_buffer_bytes
            ),
            facts=HostFactTable(settings.name, settings.zone),
            suspects=suspects,
            suspect_exchange=SuspectExchange(suspects, timers, Random()),
            incarnation=timers.make_incarnation(),
            caller_connections=make_caller_connections(
                settings.limits, log_event
            ),
        )
        parts.log_event('started', host=settings.name, zone=settings.zone)
        await _start(parts, nursery, path)


async def _start(parts: HostParts, nursery: trio.Nursery, path: Path) -> None:
    await start_sync_tasks(parts, nursery)
    nursery.start_soon(reload_changed_settings, parts, path)
    caller_listener = await start_listeners(parts, nursery)
    nursery.start_soon(
        stop_on_signal, parts, caller_listener, nursery.cancel_scope
    )
    nursery.start_soon(close_idle_connections, parts)
    parts.log_event('listening')
