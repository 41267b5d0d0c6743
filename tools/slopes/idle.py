"""What control costs running entry hosts that serve nobody."""

import tempfile
from collections.abc import Sequence
from pathlib import Path

import attrs
import trio

from ebonystream.settings import BackendSettings
from slopes.fit import Line, fit_line
from slopes.scrape import Figures, read_figures
from standins.backendserver import ServerSettings
from standins.cluster import Cluster, Service, make_cluster
from standins.demoplan import make_lists
from standins.operation import publish, wait_for_configuration
from standins.startup import start_cluster

HOST_COUNTS = (2, 4, 8, 16)
SETTLE_SECONDS = 6
WATCH_SECONDS = 15
UPSTREAM = ServerSettings(name='', port=0, default_mean_ms=1)
SERVICES = (
    Service(name='inspections', servers_per_zone=2, server_settings=UPSTREAM),
)

CPU = 'ebonystream_processor_seconds'
MEMORY = 'ebonystream_memory_bytes'
PEER_BYTES = (
    'ebonystream_peer_sent_bytes',
    'ebonystream_peer_received_bytes',
)
PLATFORM_BYTES = (
    'ebonystream_platform_sent_bytes',
    'ebonystream_platform_received_bytes',
)


@attrs.frozen(kw_only=True)
class Spent:
    """What one entry host spends on control, as the mean over all hosts.

    Attributes:
        cpu: Processor time, in microseconds for each second.
        peers: Bytes a second to and from peers.
        platform: Bytes a second to and from the platform.
        memory: Resident memory of the process, in bytes.
    """

    cpu: float
    peers: float
    platform: float
    memory: float


async def measure_idle() -> list[Line]:
    """Measure entry hosts as processes, at several numbers of them."""
    spent = [await _watch_hosts(count) for count in HOST_COUNTS]
    columns = {
        ('processor time', 'us a second'): [one.cpu for one in spent],
        ('peer traffic', 'bytes a second'): [one.peers for one in spent],
        ('platform traffic', 'bytes a second'): [one.platform for one in spent],
        ('resident memory', 'bytes'): [one.memory for one in spent],
    }
    return [
        fit_line(f'idle host: {name}', unit, 'entry hosts', HOST_COUNTS, points)
        for (name, unit), points in columns.items()
    ]


async def _watch_hosts(count: int) -> Spent:
    zones = [f'zone-{number}' for number in range(count)]
    with tempfile.TemporaryDirectory(prefix='ebonystream-') as directory:
        cluster = make_cluster(
            Path(directory),
            zones=zones,
            services=SERVICES,
            backend_settings=BackendSettings(),
        )
        async with trio.open_nursery() as nursery:
            await start_cluster(nursery, cluster)
            await publish(cluster, make_lists())
            await wait_for_configuration(cluster, 1)
            spent = await _watch_cluster(cluster)
            nursery.cancel_scope.cancel()
    return spent


async def _watch_cluster(cluster: Cluster) -> Spent:
    await trio.sleep(SETTLE_SECONDS)
    before = [await read_figures(entry) for entry in cluster.entry_hosts]
    await trio.sleep(WATCH_SECONDS)
    after = [await read_figures(entry) for entry in cluster.entry_hosts]
    us_per_second = 1_000_000
    return Spent(
        cpu=_find_rate(before, after, (CPU,)) * us_per_second,
        peers=_find_rate(before, after, PEER_BYTES),
        platform=_find_rate(before, after, PLATFORM_BYTES),
        memory=sum(one[MEMORY] for one in after) / len(after),
    )


def _find_rate(
    before: Sequence[Figures], after: Sequence[Figures], names: Sequence[str]
) -> float:
    grown = sum(
        end[name] - start[name]
        for start, end in zip(before, after, strict=True)
        for name in names
    )
    return grown / WATCH_SECONDS / len(after)
