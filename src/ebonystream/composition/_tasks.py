"""Background tasks of an entry host."""

import signal

import trio

from ebonystream._ids import Seconds, ServerId
from ebonystream.backend import BackendServer, ServerAddress
from ebonystream.composition._members import update_listed_hosts
from ebonystream.composition._parts import Parts, convert_ms
from ebonystream.configuration import tail_pages
from ebonystream.errors import EbonystreamError
from ebonystream.logservice import HostRole, HostState, ListedHost

IDLE_CHECK_PERIOD = Seconds(1)


async def watch_signals(stopping: trio.Event) -> None:
    """Set the event at SIGTERM or SIGINT; runs until cancelled.

    Args:
        stopping: The event.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stopping.set()


async def tail_control(parts: Parts) -> None:
    """Fold the control stream; runs until cancelled."""
    await tail_pages(
        log=parts.log,
        stream=parts.settings.log.control_stream,
        get_next_offset=lambda: parts.control.progress.cursor,
        apply_page=parts.control.apply_page,
        max_wait=convert_ms(parts.settings.log.poll_wait_ms),
        timers=parts.timers,
    )


async def refresh_host_list(parts: Parts) -> None:
    """Read the host list periodically, until cancelled."""
    period = convert_ms(parts.settings.host_list.refresh_ms)
    async for _ in parts.timers.subscribe(period=period):
        try:
            hosts = await parts.read_hosts()
        except EbonystreamError:
            continue
        servers = [
            _convert_backend(host)
            for host in hosts
            if host.role is HostRole.BACKEND
        ]
        parts.directory.replace(servers, parts.timers.now())
        update_listed_hosts(parts, hosts)


def _convert_backend(host: ListedHost) -> BackendServer:
    return BackendServer(
        id=ServerId(host.name),
        at=ServerAddress(host.address, host.port),
        service=host.service,
        version=host.version,
        zone=host.zone,
        leaving=host.state is HostState.LEAVING,
    )


async def close_idle_connections(parts: Parts) -> None:
    """Close connections that have been idle for too long, until cancelled."""
    async for _ in parts.timers.subscribe(period=IDLE_CHECK_PERIOD):
        await parts.server_pool.close_expired()
