"""Measures the cost of tracking backend servers."""

from functools import partial

import msgspec

from ebonystream._ids import (
    Monotonic,
    ServerId,
    ServiceName,
    VersionName,
    ZoneName,
)
from ebonystream.backend import BackendServer, Directory, ServerAddress
from ebonystream.logservice import HostRole, HostState, ListedHost
from slopes.fit import Line, fit_line
from slopes.meter import measure_cpu_us, measure_memory

SERVER_COUNTS = (250, 1000, 4000, 16_000)
SERVERS_PER_SERVICE = 38
ZONES = 28


def measure_servers() -> list[Line]:
    """Measure the directory of backend servers and the host list."""
    counts = SERVER_COUNTS
    against = 'upstreams'
    memory_sizes = [
        measure_memory(partial(_make_directory, count)) for count in counts
    ]
    refresh_times = [_time_refresh(count) for count in counts]
    host_lists = [_encode_host_list(count) for count in counts]
    decode_times = [
        measure_cpu_us(partial(_decode_host_list, encoded))
        for encoded in host_lists
    ]
    list_sizes = [len(encoded) for encoded in host_lists]
    return [
        fit_line('directory memory', 'bytes', against, counts, memory_sizes),
        fit_line('directory refresh', 'us', against, counts, refresh_times),
        fit_line('host list', 'bytes', against, counts, list_sizes),
        fit_line('host list decode', 'us', against, counts, decode_times),
    ]


def _make_directory(count: int) -> Directory:
    directory = Directory()
    directory.replace(map(_make_server, range(count)), Monotonic(0))
    return directory


def _time_refresh(count: int) -> float:
    directory = _make_directory(count)
    listed = [_make_server(number) for number in range(count)]
    return measure_cpu_us(partial(directory.replace, listed, Monotonic(1)))


def _make_server(number: int) -> BackendServer:
    return BackendServer(
        id=ServerId(f'server-{number}'),
        at=ServerAddress('127.0.0.1', number),
        service=ServiceName(f'service-{number // SERVERS_PER_SERVICE}'),
        version=VersionName('v1'),
        zone=ZoneName(f'zone-{number % ZONES}'),
    )


def _encode_host_list(count: int) -> bytes:
    hosts = [
        ListedHost(
            name=f'server-{number}',
            role=HostRole.BACKEND,
            address='127.0.0.1',
            port=number,
            zone=ZoneName(f'zone-{number % ZONES}'),
            service=ServiceName(f'service-{number // SERVERS_PER_SERVICE}'),
            version=VersionName('v1'),
            state=HostState.LIVE,
        )
        for number in range(count)
    ]
    return msgspec.json.encode(hosts)


def _decode_host_list(encoded: bytes) -> list[ListedHost]:
    return msgspec.json.decode(encoded, type=list[ListedHost])
