"""The composition root of an entry host on the users' platform."""

import os
import sys
import time
from functools import partial
from pathlib import Path
from random import Random

import trio

from ebonystream._address import ServerAddress
from ebonystream._ids import Incarnation, Seconds
from ebonystream._timers import Timers, start_timers
from ebonystream.decisionlog import make_note, start_decision_log
from ebonystream.entryhost._asking import ask_peers
from ebonystream.entryhost._callers import (
    make_readiness_handler,
    make_sharing_handler,
)
from ebonystream.entryhost._following import follow_orders, follow_servers
from ebonystream.entryhost._leaving import stop_on_signal
from ebonystream.entryhost._meeting import (
    listen_to_peers,
    meet_peers,
    talk_to_peers,
)
from ebonystream.entryhost._moving import follow_moves
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._path import make_request_handler
from ebonystream.entryhost._reload import follow_settings
from ebonystream.entryhost._settings import HostSettings
from ebonystream.entryhost._store import (
    make_store_reads,
    read_report,
    register_host,
)
from ebonystream.gossip import FactTable, make_ask_shared, open_datagrams
from ebonystream.ingress import serve_listener
from ebonystream.link import ConnectionPool, PoolLimits, make_exchange
from ebonystream.platform import (
    SETTINGS_VARIABLE,
    StoreClient,
    decode_settings,
)

SERVER_LINKS = PoolLimits(
    idle_connections=4, idle=Seconds(8), connect_timeout=Seconds(0.25)
)
STORE_LINKS = PoolLimits(
    idle_connections=2, idle=Seconds(20), connect_timeout=Seconds(0.5)
)
CLOSE_IDLE_PERIOD = Seconds(1)


def run_entry_host() -> None:
    """Run an entry host until it is told to stop."""
    path = Path(os.environ[SETTINGS_VARIABLE])
    trio.run(_run, path)


def read_settings(path: Path) -> HostSettings:
    """Read a settings file.

    Args:
        path: The file.

    Raises:
        ValueError: It can't be read whole.
        OSError: There is none.
    """
    return decode_settings(path.read_bytes())


async def _run(path: Path) -> None:
    timers = start_timers(wall_clock=time.time)
    settings = read_settings(path)
    buffer = start_decision_log(sys.stdout.fileno())
    async with trio.open_nursery() as nursery:
        parts = HostParts(
            settings=settings,
            timers=timers,
            random=Random(),
            note=make_note(timers=timers, buffer=buffer),
            background=nursery,
            servers_pool=ConnectionPool(SERVER_LINKS, timers),
            facts=FactTable(settings.name, settings.zone),
            incarnation=_make_incarnation(timers),
        )
        parts.note('started', host=settings.name, zone=settings.zone)
        await _start(parts, nursery, path)


def _make_incarnation(timers: Timers) -> Incarnation:
    """Name this run, so that the names of later runs sort behind it."""
    return Incarnation(f'{timers.wall_ms():013d}')


async def _start(parts: HostParts, nursery: trio.Nursery, path: Path) -> None:
    await _start_peers(parts, nursery)
    nursery.start_soon(follow_settings, parts, path, read_settings)
    await nursery.start(
        partial(
            serve_listener,
            parts.settings.readiness,
            make_readiness_handler(parts),
            connections=nursery,
        )
    )
    callers = await nursery.start(
        partial(
            serve_listener,
            parts.settings.callers,
            make_request_handler(parts),
            connections=nursery,
        )
    )
    nursery.start_soon(stop_on_signal, parts, callers, nursery.cancel_scope)
    nursery.start_soon(_close_idle, parts)
    parts.note('listening')


async def _start_peers(parts: HostParts, nursery: trio.Nursery) -> None:
    """Start what keeps this host in step with the store and its peers."""
    exchange = make_exchange(pool=ConnectionPool(STORE_LINKS, parts.timers))
    store = StoreClient(
        at=parts.settings.store,
        exchange=exchange,
        count_call=lambda call: None,
    )
    reads = make_store_reads(parts, store)
    datagrams = await open_datagrams(parts.settings.peers)
    peers = parts.settings.peers
    await nursery.start(
        partial(
            serve_listener,
            ServerAddress(peers.address, peers.port + 1),
            make_sharing_handler(parts),
            connections=nursery,
        )
    )
    register = partial(register_host, parts, store)
    nursery.start_soon(meet_peers, parts, datagrams, register)
    nursery.start_soon(listen_to_peers, parts, datagrams)
    nursery.start_soon(talk_to_peers, parts, datagrams)
    nursery.start_soon(ask_peers, parts, make_ask_shared(exchange=exchange))
    nursery.start_soon(follow_orders, parts, reads)
    nursery.start_soon(follow_servers, parts, reads)
    nursery.start_soon(follow_moves, parts, partial(read_report, store))


async def _close_idle(parts: HostParts) -> None:
    async for _ in parts.timers.subscribe(period=CLOSE_IDLE_PERIOD):
        await parts.servers_pool.close_idle()
