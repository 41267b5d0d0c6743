"""Starts an entry host and stops it gracefully."""

import httpx
import trio

from ebonystream._ids import Seconds
from ebonystream._timers import MS_PER_SECOND
from ebonystream.composition._admin import serve_admin_api
from ebonystream.composition._control import keep_control
from ebonystream.composition._gauges import add_gauges
from ebonystream.composition._listener import (
    make_call_dispatch,
    make_listener,
)
from ebonystream.composition._members import keep_peers
from ebonystream.composition._ownership import (
    Ownership,
    claim_slices,
    leave_ownership,
    make_ownership,
    tail_keys,
)
from ebonystream.composition._parts import Parts, make_parts
from ebonystream.composition._peers import open_transport
from ebonystream.composition._policy import start_policy
from ebonystream.composition._probes import probe_servers
from ebonystream.composition._servers import refresh_sponsorship
from ebonystream.composition._tasks import (
    close_idle,
    refresh_hosts,
    watch_signals,
)
from ebonystream.observation import Traffic, make_traffic_hooks
from ebonystream.ownership import make_handle_forwarded_call
from ebonystream.settings import Settings

LAST_ANSWERS = Seconds(0.1)
"""How long the last answers to peers may take to leave this host."""


async def run_entry_host(settings: Settings) -> None:
    """Run one entry host until SIGTERM or SIGINT, then stop it gracefully.

    Args:
        settings: The checked settings of the host.
    """
    timeout = settings.log.timeout_ms + settings.log.poll_wait_ms
    traffic = Traffic()
    async with (
        httpx.AsyncClient(
            timeout=timeout / MS_PER_SECOND,
            event_hooks=make_traffic_hooks(traffic),
        ) as client,
        open_transport(settings) as transport,
    ):
        parts = make_parts(
            settings,
            client=client,
            transport=transport,
            platform_traffic=traffic,
        )
        add_gauges(parts)
        listeners = await trio.open_tcp_listeners(
            settings.callers.port, host=str(settings.callers.address)
        )
        async with trio.open_nursery() as background:
            await _serve_until_stopped(parts, listeners, background)
            background.cancel_scope.cancel()


async def _serve_until_stopped(
    parts: Parts,
    listeners: list[trio.SocketListener],
    background: trio.Nursery,
) -> None:
    dispatch = make_call_dispatch(parts)
    async with trio.open_nursery() as running:
        ownership = make_ownership(parts, dispatch=dispatch, running=running)
        listener = make_listener(parts, dispatch=dispatch, ownership=ownership)
        _start_tasks(parts, ownership, background)
        async with trio.open_nursery() as serving:
            serving.start_soon(listener.run, listeners, parts.stopping)
            serving.start_soon(leave_ownership, parts, ownership)
        # Peers still forward calls, and a nursery that ended takes no task.
        ownership.owner.close()
    await _finish_requests(parts)


def _start_tasks(
    parts: Parts, ownership: Ownership, background: trio.Nursery
) -> None:
    answer_call = make_handle_forwarded_call(
        run_owned=ownership.run_owned, timers=parts.timers
    )
    background.start_soon(watch_signals, parts.stopping)
    background.start_soon(keep_control, parts)
    background.start_soon(keep_peers, parts, answer_call)
    background.start_soon(tail_keys, parts)
    background.start_soon(claim_slices, parts, ownership)
    background.start_soon(refresh_hosts, parts)
    background.start_soon(close_idle, parts)
    start_policy(background, parts.policy)
    background.start_soon(probe_servers, parts)
    background.start_soon(
        refresh_sponsorship, parts.server_rules, parts.directory, parts.timers
    )
    background.start_soon(serve_admin_api, parts)


async def _finish_requests(parts: Parts) -> None:
    """Wait until what peers asked is answered and the answers are sent."""
    while parts.peers.exchange.running:
        await parts.timers.wait(LAST_ANSWERS)
    await parts.timers.wait(LAST_ANSWERS)
