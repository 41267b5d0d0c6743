"""Starts an entry host and stops it gracefully."""

import httpx
import trio

from ebonystream._timers import MS_PER_SECOND
from ebonystream.composition._admin import serve_admin_api
from ebonystream.composition._listener import make_listener
from ebonystream.composition._moves import (
    finish_moves,
    keep_checkpoints,
    watch_returns,
)
from ebonystream.composition._parts import Parts, make_parts
from ebonystream.composition._policy import start_policy
from ebonystream.composition._servers import refresh_sponsorship
from ebonystream.composition._tasks import (
    close_idle,
    refresh_hosts,
    tail_control,
    watch_signals,
)
from ebonystream.settings import Settings


async def run_entry_host(settings: Settings) -> None:
    """Run one entry host until SIGTERM or SIGINT, then stop it gracefully.

    Args:
        settings: The checked settings of the host.
    """
    timeout = settings.log.timeout_ms + settings.log.poll_wait_ms
    async with httpx.AsyncClient(timeout=timeout / MS_PER_SECOND) as client:
        parts = make_parts(settings, client)
        listeners = await trio.open_tcp_listeners(
            settings.callers.port, host=str(settings.callers.address)
        )
        async with trio.open_nursery() as background:
            _start_tasks(background, parts)
            await make_listener(parts).run(listeners, parts.stopping)
            background.cancel_scope.cancel()


def _start_tasks(background: trio.Nursery, parts: Parts) -> None:
    background.start_soon(watch_signals, parts.stopping)
    watch_returns(parts)
    background.start_soon(tail_control, parts)
    background.start_soon(finish_moves, parts)
    background.start_soon(keep_checkpoints, parts)
    background.start_soon(refresh_hosts, parts)
    background.start_soon(close_idle, parts)
    start_policy(background, parts.policy)
    background.start_soon(
        refresh_sponsorship,
        parts.server_rules,
        parts.directory,
        parts.timers,
    )
    background.start_soon(serve_admin_api, parts)
