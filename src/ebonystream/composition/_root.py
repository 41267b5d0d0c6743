"""Start and graceful shutdown of an entry host."""

import httpx
import trio

from ebonystream._allocator import return_large_buffers
from ebonystream._ids import Seconds
from ebonystream._timers import MS_PER_SECOND
from ebonystream.composition._admin import serve_admin_api
from ebonystream.composition._control import run_control_tasks
from ebonystream.composition._gauges import add_gauges
from ebonystream.composition._listener import (
    make_call_dispatch,
    make_caller_listener,
)
from ebonystream.composition._members import run_peer_tasks
from ebonystream.composition._ownership import (
    Ownership,
    claim_slices,
    make_ownership,
    release_ownership,
    tail_keys,
)
from ebonystream.composition._parts import Parts, make_parts
from ebonystream.composition._peers import open_transport
from ebonystream.composition._policy import start_policy
from ebonystream.composition._probes import probe_servers
from ebonystream.composition._servers import refresh_sponsorship
from ebonystream.composition._tasks import (
    close_idle_connections,
    refresh_host_list,
    watch_signals,
)
from ebonystream.observation import Traffic, make_traffic_hooks
from ebonystream.ownership import make_handle_forwarded_call
from ebonystream.settings import Settings

PEER_RESPONSE_DRAIN_PERIOD = Seconds(0.1)
"""How often an ending host checks whether requests of peers are active, and the
time that it then allows for sending the last responses."""


async def run_entry_host(settings: Settings) -> None:
    """Run one entry host until SIGTERM or SIGINT, then shut down gracefully.

    Args:
        settings: The checked settings of the host.
    """
    return_large_buffers()
    timeout_ms = settings.log.timeout_ms + settings.log.poll_wait_ms
    platform_traffic = Traffic()
    async with (
        httpx.AsyncClient(
            timeout=timeout_ms / MS_PER_SECOND,
            event_hooks=make_traffic_hooks(platform_traffic),
        ) as client,
        open_transport(settings) as transport,
    ):
        parts = make_parts(
            settings,
            client=client,
            transport=transport,
            platform_traffic=platform_traffic,
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
    async with trio.open_nursery() as call_nursery:
        ownership = make_ownership(
            parts, dispatch=dispatch, nursery=call_nursery
        )
        listener = make_caller_listener(
            parts, dispatch=dispatch, ownership=ownership
        )
        _start_tasks(parts, ownership, background)
        async with trio.open_nursery() as serving_nursery:
            serving_nursery.start_soon(listener.run, listeners, parts.stopping)
            serving_nursery.start_soon(release_ownership, parts, ownership)
        # Peers still forward calls, but no task can be started in a nursery
        # that has ended.
        ownership.owner.close()
    await _finish_peer_requests(parts)


def _start_tasks(
    parts: Parts, ownership: Ownership, background: trio.Nursery
) -> None:
    respond_to_call = make_handle_forwarded_call(
        run_owned=ownership.run_owned, timers=parts.timers
    )
    background.start_soon(watch_signals, parts.stopping)
    background.start_soon(run_control_tasks, parts)
    background.start_soon(run_peer_tasks, parts, respond_to_call)
    background.start_soon(tail_keys, parts)
    background.start_soon(claim_slices, parts, ownership)
    background.start_soon(refresh_host_list, parts)
    background.start_soon(close_idle_connections, parts)
    start_policy(background, parts.policy)
    background.start_soon(probe_servers, parts)
    background.start_soon(
        refresh_sponsorship, parts.server_rules, parts.directory, parts.timers
    )
    background.start_soon(serve_admin_api, parts)


async def _finish_peer_requests(parts: Parts) -> None:
    """Wait until the responses to the requests of peers have been sent."""
    while parts.peers.exchange.active_requests:
        await parts.timers.wait(PEER_RESPONSE_DRAIN_PERIOD)
    await parts.timers.wait(PEER_RESPONSE_DRAIN_PERIOD)
