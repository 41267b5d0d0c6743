"""Measures the cost of control for entry hosts that receive no calls."""

import tempfile
from collections.abc import Sequence
from pathlib import Path

import attrs
import trio

from ebonystream.settings import BackendSettings
from slopes.fit import Line, fit_line
from slopes.scrape import Metrics, read_metrics
from standins.backendserver import ServerSettings
from standins.cluster import Cluster, Service, make_cluster
from standins.demoplan import make_lists
from standins.operation import publish, wait_for_configuration
from standins.startup import start_cluster

HOST_COUNTS = (2, 4, 8, 16)
SETTLE_SECONDS = 6
OBSERVATION_SECONDS = 15
BACKEND_SERVER = ServerSettings(name='', port=0, default_mean_ms=1)
SERVICES = (
    Service(
        name='inspections', servers_per_zone=2, server_settings=BACKEND_SERVER
    ),
)

CPU_METRIC = 'ebonystream_processor_seconds'
MEMORY_METRIC = 'ebonystream_memory_bytes'
PEER_TRAFFIC_METRICS = (
    'ebonystream_peer_sent_bytes',
    'ebonystream_peer_received_bytes',
)
PLATFORM_TRAFFIC_METRICS = (
    'ebonystream_platform_sent_bytes',
    'ebonystream_platform_received_bytes',
)


@attrs.frozen(kw_only=True)
class ControlCost:
    """Cost of control for one entry host, as the mean over all hosts.

    Attributes:
        cpu_us_per_second: Processor time, in microseconds per second.
        peer_bytes_per_second: Traffic to and from peers.
        platform_bytes_per_second: Traffic to and from the platform.
        memory_bytes: Resident memory of the process.
    """

    cpu_us_per_second: float
    peer_bytes_per_second: float
    platform_bytes_per_second: float
    memory_bytes: float


async def measure_idle() -> list[Line]:
    """Measure running processes at several numbers of entry hosts."""
    costs = [await _measure_hosts(count) for count in HOST_COUNTS]
    columns = {
        ('processor time', 'us a second'): [
            cost.cpu_us_per_second for cost in costs
        ],
        ('peer traffic', 'bytes a second'): [
            cost.peer_bytes_per_second for cost in costs
        ],
        ('platform traffic', 'bytes a second'): [
            cost.platform_bytes_per_second for cost in costs
        ],
        ('resident memory', 'bytes'): [cost.memory_bytes for cost in costs],
    }
    return [
        fit_line(f'idle host: {name}', unit, 'entry hosts', HOST_COUNTS, points)
        for (name, unit), points in columns.items()
    ]


async def _measure_hosts(count: int) -> ControlCost:
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
            cost = await _observe_cluster(cluster)
            nursery.cancel_scope.cancel()
    return cost


async def _observe_cluster(cluster: Cluster) -> ControlCost:
    await trio.sleep(SETTLE_SECONDS)
    before = [await read_metrics(entry) for entry in cluster.entry_hosts]
    await trio.sleep(OBSERVATION_SECONDS)
    after = [await read_metrics(entry) for entry in cluster.entry_hosts]
    us_per_second = 1_000_000
    return ControlCost(
        cpu_us_per_second=_get_rate_per_host(before, after, (CPU_METRIC,))
        * us_per_second,
        peer_bytes_per_second=_get_rate_per_host(
            before, after, PEER_TRAFFIC_METRICS
        ),
        platform_bytes_per_second=_get_rate_per_host(
            before, after, PLATFORM_TRAFFIC_METRICS
        ),
        memory_bytes=sum(metrics[MEMORY_METRIC] for metrics in after)
        / len(after),
    )


def _get_rate_per_host(
    before: Sequence[Metrics], after: Sequence[Metrics], names: Sequence[str]
) -> float:
    increase = sum(
        end[name] - start[name]
        for start, end in zip(before, after, strict=True)
        for name in names
    )
    return increase / OBSERVATION_SECONDS / len(after)
