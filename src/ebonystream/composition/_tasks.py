"""The background tasks of one entry host."""

import signal

import trio

from ebonystream._ids import Seconds, ServerId
from ebonystream.backend import BackendServer, ServerAddress
from ebonystream.composition._members import replace_listed
from ebonystream.composition._parts import Parts, convert_ms
from ebonystream.configuration import tail_pages
from ebonystream.errors import EbonystreamError
from ebonystream.logservice import HostRole, HostState, ListedHost

IDLE_CHECK_PERIOD = Seconds(1)


async def watch_signals(stopping: trio.Event) -> None:
    """Set the event at the first SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stopping.set()


async def tail_control(parts: Parts) -> None:
    """Fold the control stream for ever."""
    await tail_pages(
        log=parts.log,
        stream=parts.settings.log.control_stream,
        get_next_offset=lambda: parts.control.progress.cursor,
        apply_page=parts.control.apply_page,
        max_wait=convert_ms(parts.settings.log.poll_wait_ms),
        timers=parts.timers,
    )


async def refresh_hosts(parts: Parts) -> None:
    """Read the host list for ever."""
    period = convert_ms(parts.settings.host_list.refresh_ms)
    async for _ in parts.timers.subscribe(period=period):
        try:
            listed = await parts.read_hosts()
        except EbonystreamError:
            continue
        servers = [
            _convert_host(host)
            for host in listed
            if host.role is HostRole.BACKEND
        ]
        parts.directory.replace(servers, parts.timers.now())
        replace_listed(parts, listed)


def _convert_host(host: ListedHost) -> BackendServer:
    return BackendServer(
        id=ServerId(host.name),
        at=ServerAddress(host.address, host.port),
        service=host.service,
        version=host.version,
        zone=host.zone,
        leaving=host.state is HostState.LEAVING,
    )


async def close_idle(parts: Parts) -> None:
    """Close connections that were unused for too long, for ever."""
    async for _ in parts.timers.subscribe(period=IDLE_CHECK_PERIOD):
        await parts.pool.close_expired()
