"""What knowing backend servers costs."""

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
from slopes.meter import time_work, weigh_state

UPSTREAM_COUNTS = (250, 1000, 4000, 16_000)
UPSTREAMS_A_SERVICE = 38
ZONES = 28


def measure_upstreams() -> list[Line]:
    """Measure the directory of backend servers and the host list."""
    counts = UPSTREAM_COUNTS
    against = 'upstreams'
    weights = [weigh_state(partial(_fill, count)) for count in counts]
    times = [_time_refresh(count) for count in counts]
    lists = [_spell_list(count) for count in counts]
    decodes = [time_work(partial(_decode, spelled)) for spelled in lists]
    sizes = [len(spelled) for spelled in lists]
    return [
        fit_line('directory memory', 'bytes', against, counts, weights),
        fit_line('directory refresh', 'us', against, counts, times),
        fit_line('host list', 'bytes', against, counts, sizes),
        fit_line('host list decode', 'us', against, counts, decodes),
    ]


def _fill(count: int) -> Directory:
    directory = Directory()
    directory.replace(map(_make_server, range(count)), Monotonic(0))
    return directory


def _time_refresh(count: int) -> float:
    directory = _fill(count)
    listed = [_make_server(number) for number in range(count)]
    return time_work(partial(directory.replace, listed, Monotonic(1)))


def _make_server(number: int) -> BackendServer:
    return BackendServer(
        id=ServerId(f'server-{number}'),
        at=ServerAddress('127.0.0.1', number),
        service=ServiceName(f'service-{number // UPSTREAMS_A_SERVICE}'),
        version=VersionName('v1'),
        zone=ZoneName(f'zone-{number % ZONES}'),
    )


def _spell_list(count: int) -> bytes:
    hosts = [
        ListedHost(
            name=f'server-{number}',
            role=HostRole.BACKEND,
            address='127.0.0.1',
            port=number,
            zone=ZoneName(f'zone-{number % ZONES}'),
            service=ServiceName(f'service-{number // UPSTREAMS_A_SERVICE}'),
            version=VersionName('v1'),
            state=HostState.LIVE,
        )
        for number in range(count)
    ]
    return msgspec.json.encode(hosts)


def _decode(spelled: bytes) -> list[ListedHost]:
    return msgspec.json.decode(spelled, type=list[ListedHost])
