"""The composition root of an entry host on the users' platform."""

import os
import sys
import time
from collections.abc import Mapping
from functools import partial
from pathlib import Path
from random import Random

import trio

from ebonystream._ids import Offset, Seconds, ServiceName
from ebonystream._timers import start_timers
from ebonystream.decisionlog import make_note, start_decision_log
from ebonystream.dispatch import (
    RepeatBudget,
    RepeatTerms,
    make_send,
    make_serve,
)
from ebonystream.entryhost._callers import (
    Handle,
    make_caller_handler,
    make_readiness_handler,
)
from ebonystream.entryhost._following import follow_orders, follow_servers
from ebonystream.entryhost._leaving import stop_on_signal
from ebonystream.entryhost._observers import make_observers
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._reload import follow_settings
from ebonystream.entryhost._settings import HostSettings
from ebonystream.ingress import serve_listener
from ebonystream.link import ConnectionPool, PoolLimits, make_exchange
from ebonystream.orders import OrdersListing
from ebonystream.placement import make_ask, make_find_room
from ebonystream.platform import (
    OPERATOR_TOPIC,
    SERVERS_TOPIC,
    SETTINGS_VARIABLE,
    StoreClient,
    decode_orders,
    decode_servers,
    decode_settings,
    make_dialect,
)
from ebonystream.roster import KnownServer, ServerEntry
from ebonystream.route import ServiceTerms

SERVER_LINKS = PoolLimits(
    idle_connections=4, idle=Seconds(8), connect_timeout=Seconds(0.25)
)
STORE_LINKS = PoolLimits(
    idle_connections=2, idle=Seconds(20), connect_timeout=Seconds(0.5)
)
CLOSE_IDLE_PERIOD = Seconds(1)
EXPECTED_HOSTS = 20
"""Over how many hosts shared bounds are spread until peers are known."""


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
        )
        parts.note('started', host=settings.name, zone=settings.zone)
        await _start(parts, nursery, path)


async def _start(parts: HostParts, nursery: trio.Nursery, path: Path) -> None:
    _start_followers(parts, nursery, path)
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
            _make_callers(parts),
            connections=nursery,
        )
    )
    nursery.start_soon(stop_on_signal, parts, callers, nursery.cancel_scope)
    nursery.start_soon(_close_idle, parts)
    parts.note('listening')


def _make_callers(parts: HostParts) -> Handle:
    dialect = make_dialect()
    exchange = make_exchange(pool=parts.servers_pool)
    ask = make_ask(
        exchange=exchange,
        dialect=dialect,
        list_terms=partial(_list_terms, parts),
        timers=parts.timers,
    )
    find_room = make_find_room(
        list_servers=partial(_list_servers, parts),
        ask=ask,
        work_times=parts.work_times,
        zone=parts.settings.zone,
        timers=parts.timers,
        random=parts.random,
        background=parts.background,
    )
    serve = make_serve(
        find_room=find_room,
        send=make_send(exchange=exchange, dialect=dialect, timers=parts.timers),
        budget=_make_budget(parts.settings),
        observers=make_observers(parts),
        get_configuration=lambda: parts.orders.configuration,
        timers=parts.timers,
        random=parts.random,
    )
    return make_caller_handler(parts, serve, dialect)


def _make_budget(settings: HostSettings) -> RepeatBudget:
    bounds = settings.bounds
    return RepeatBudget(
        terms=RepeatTerms(
            ratio=bounds.repeat_ratio,
            slack=bounds.repeat_slack,
            window=bounds.repeat_window,
        ),
        hosts=EXPECTED_HOSTS,
    )


def _start_followers(
    parts: HostParts, nursery: trio.Nursery, path: Path
) -> None:
    store = StoreClient(
        at=parts.settings.store,
        exchange=make_exchange(pool=ConnectionPool(STORE_LINKS, parts.timers)),
        count_call=lambda call: None,
    )

    async def list_orders() -> OrdersListing:
        listing = await store.list_newest(OPERATOR_TOPIC)
        return decode_orders(listing, note_unreadable)

    async def wait_for_orders(end: Offset, wait: Seconds) -> Offset:
        return await store.wait_beyond(OPERATOR_TOPIC, end, wait=wait)

    async def list_entries() -> tuple[ServerEntry, ...]:
        listing = await store.list_newest(SERVERS_TOPIC)
        return decode_servers(listing, note_unreadable)

    def note_unreadable(key: str, why: str) -> None:
        parts.note('record_unreadable', key=key, why=why)

    nursery.start_soon(follow_orders, parts, list_orders, wait_for_orders)
    nursery.start_soon(follow_servers, parts, list_entries)
    nursery.start_soon(follow_settings, parts, path, read_settings)


def _list_servers(parts: HostParts, service: ServiceName) -> list[KnownServer]:
    return [
        server
        for server in parts.roster.list_service(service)
        if server.entry.zone not in parts.orders.zones_out
    ]


def _list_terms(parts: HostParts) -> Mapping[ServiceName, ServiceTerms]:
    configuration = parts.orders.configuration
    return configuration.services if configuration else {}


async def _close_idle(parts: HostParts) -> None:
    async for _ in parts.timers.subscribe(period=CLOSE_IDLE_PERIOD):
        await parts.servers_pool.close_idle()
