"""Measures the latency and processor time that an entry host adds to a call.

The direct and the routed path are measured alternately within one run, by the
same client on persistent connections, with a backend server whose service time
is 0. The last line printed is a JSON object.
"""

import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from types import MappingProxyType

import attrs
import msgspec
import psutil
import trio

from ebonystream._ids import CustomerId, PlanName, RouteName, ServiceName
from ebonystream.configuration import (
    CustomerPlan,
    PlanAllowance,
    PlanClass,
    PlanLists,
    Route,
)
from ebonystream.settings import BackendSettings
from standins.backendserver import ServerSettings
from standins.client import Client, connect, fetch
from standins.cluster import LOOPBACK, Cluster, Service, make_cluster
from standins.launch import launch
from standins.operation import publish, wait_for_configuration
from standins.startup import ENTRY_HOST_MODULE, start_cluster
from standins.statistic import find_percentile, format_table

MS_PER_SECOND = 1000
WARM_UP_CALLS = 300
ROUNDS = 40
CALLS_PER_ROUND = 50
CONCURRENT_CALLERS = 8
CALLS_PER_CALLER = 400
SLOTS = 64
OK_STATUS = 200
EXIT_NO_REPORT = 2
HEADERS = MappingProxyType(
    {'x-customer': 'verein', 'x-route': 'find-rack'},
)


class BenchReport(msgspec.Struct, kw_only=True):
    """The last line of the report.

    Attributes:
        added_p50_ms: Difference of the median latencies of sequential calls,
            routed minus direct.
        added_p99_ms: The same difference at the 99th percentile.
        calls_per_second: Throughput of concurrent routed calls.
        direct_calls_per_second: Throughput of concurrent direct calls.
        direct_p50_ms: Median latency of sequential direct calls.
        direct_p99_ms: 99th percentile of sequential direct calls.
        routed_p50_ms: Median latency of sequential routed calls.
        routed_p99_ms: 99th percentile of sequential routed calls.
        busy_routed_p50_ms: Median latency of concurrent routed calls.
        busy_routed_p99_ms: 99th percentile of concurrent routed calls.
        busy_direct_p50_ms: Median latency of concurrent direct calls.
        busy_direct_p99_ms: 99th percentile of concurrent direct calls.
        entry_busy_share: Processor time of the entry host divided by wall
            time during concurrent calls. Well below 1, the client or the
            backend server is the bottleneck, and the entry host has capacity
            for more calls.
        entry_cpu_ms_per_call: Processor time of the entry host for one
            concurrent call.
        calls: Number of calls measured.
        failed: Number of responses with a status other than 200.
        failures: Number of such responses by status and body.
    """

    added_p50_ms: float
    added_p99_ms: float
    calls_per_second: float
    direct_calls_per_second: float
    direct_p50_ms: float
    direct_p99_ms: float
    routed_p50_ms: float
    routed_p99_ms: float
    busy_routed_p50_ms: float
    busy_routed_p99_ms: float
    busy_direct_p50_ms: float
    busy_direct_p99_ms: float
    entry_busy_share: float
    entry_cpu_ms_per_call: float
    calls: int
    failed: int
    failures: dict[str, int]


@attrs.define
class Measurement:
    """Measurements of sequential or concurrent calls on one path.

    Attributes:
        durations_ms: Latency of each call.
        failures: Number of responses with a status other than 200, by status
            and body.
        seconds: Wall time of all calls.
        cpu_seconds: Processor time of the entry host during the calls.
    """

    durations_ms: list[float] = attrs.field(factory=list)
    failures: Counter[str] = attrs.field(factory=Counter)
    seconds: float = 0
    cpu_seconds: float = 0

    @property
    def p50(self) -> float:
        """The median latency, in milliseconds."""
        return find_percentile(self.durations_ms, 50)

    @property
    def p99(self) -> float:
        """The 99th percentile of the latency, in milliseconds."""
        return find_percentile(self.durations_ms, 99)

    @property
    def rate(self) -> float:
        """Calls per second."""
        return len(self.durations_ms) / self.seconds

    @property
    def cpu_ms_per_call(self) -> float:
        """Processor time of the entry host for one call, in milliseconds."""
        return self.cpu_seconds * MS_PER_SECOND / len(self.durations_ms)


async def measure_sequential(
    direct: Client, routed: Client
) -> tuple[Measurement, Measurement]:
    """Measure sequential calls, alternating between both paths.

    Args:
        direct: A connection to the backend server.
        routed: A connection to the entry host.
    """
    measurements = (Measurement(), Measurement())
    for client in (direct, routed):
        await _send_calls(client, Measurement(), WARM_UP_CALLS)
    for _ in range(ROUNDS):
        await _send_calls(direct, measurements[0], CALLS_PER_ROUND)
        await _send_calls(routed, measurements[1], CALLS_PER_ROUND)
    return measurements


async def measure_concurrent(port: int) -> Measurement:
    """Measure concurrent calls on one path.

    Args:
        port: The port of the backend server or of the entry host.
    """
    clients = [await connect(LOOPBACK, port) for _ in range(CONCURRENT_CALLERS)]
    for client in clients:
        await _send_calls(client, Measurement(), 1)
    measurement = Measurement()
    started_at = trio.current_time()
    cpu_before = _read_cpu_seconds()
    async with trio.open_nursery() as callers:
        for client in clients:
            callers.start_soon(
                _send_calls, client, measurement, CALLS_PER_CALLER
            )
    measurement.seconds = trio.current_time() - started_at
    measurement.cpu_seconds = _read_cpu_seconds() - cpu_before
    for client in clients:
        await client.stream.aclose()
    return measurement


def _read_cpu_seconds() -> float:
    """Return the processor time of the entry host, in seconds."""
    children = psutil.Process().children()
    entry_host = next(
        child for child in children if ENTRY_HOST_MODULE in child.cmdline()
    )
    times = entry_host.cpu_times()
    return float(times.user + times.system)


async def _send_calls(
    client: Client, measurement: Measurement, count: int
) -> None:
    for _ in range(count):
        started_at = trio.current_time()
        response = await fetch(client, 'GET', '/racks/7', headers=HEADERS)
        duration_ms = (trio.current_time() - started_at) * MS_PER_SECOND
        measurement.durations_ms.append(duration_ms)
        if response.status != OK_STATUS:
            measurement.failures[
                f'{response.status} {response.body.decode()}'
            ] += 1


def make_lists() -> PlanLists:
    """Return lists with one customer, one plan and one route."""
    route = Route(
        route=RouteName('find-rack'),
        service=ServiceName('inspections'),
        method='GET',
        path_prefix='/racks/',
        once=False,
    )
    plan = PlanAllowance(
        plan=PlanName('bench'),
        plan_class=PlanClass.PROMISED,
        calls_per_second=1_000_000,
        burst_calls=1_000_000,
        deadline_ms=5000,
        routes=(route,),
    )
    customer = CustomerPlan(
        customer=CustomerId('verein'),
        plan=PlanName('bench'),
    )
    return PlanLists(customers=(customer,), plans=(plan,))


def _make_cluster(directory: str) -> Cluster:
    server_settings = ServerSettings(
        name='',
        port=0,
        slots=SLOTS,
        default_mean_ms=0,
        connection_cost_ms=0,
        probe_cost_ms=0,
    )
    return make_cluster(
        Path(directory),
        zones=('ch-central-a',),
        services=(
            Service(
                name='inspections',
                servers_per_zone=1,
                server_settings=server_settings,
            ),
        ),
        backend_settings=BackendSettings(slots=SLOTS),
    )


async def _measure(cluster: Cluster) -> BenchReport:
    ports = (
        cluster.backends[0].settings.port,
        cluster.entry_hosts[0].caller_port,
    )
    clients = [await connect(LOOPBACK, port) for port in ports]
    direct, routed = await measure_sequential(*clients)
    busy_direct, busy_routed = [
        await measure_concurrent(port) for port in ports
    ]
    measurements = (direct, routed, busy_direct, busy_routed)
    failures = sum((tally.failures for tally in measurements), Counter[str]())
    return BenchReport(
        added_p50_ms=routed.p50 - direct.p50,
        added_p99_ms=routed.p99 - direct.p99,
        calls_per_second=busy_routed.rate,
        direct_calls_per_second=busy_direct.rate,
        direct_p50_ms=direct.p50,
        direct_p99_ms=direct.p99,
        routed_p50_ms=routed.p50,
        routed_p99_ms=routed.p99,
        busy_routed_p50_ms=busy_routed.p50,
        busy_routed_p99_ms=busy_routed.p99,
        busy_direct_p50_ms=busy_direct.p50,
        busy_direct_p99_ms=busy_direct.p99,
        entry_busy_share=busy_routed.cpu_seconds / busy_routed.seconds,
        entry_cpu_ms_per_call=busy_routed.cpu_ms_per_call,
        calls=sum(len(tally.durations_ms) for tally in measurements),
        failed=failures.total(),
        failures=failures,
    )


def _list_rows(report: BenchReport) -> Iterator[tuple[str, ...]]:
    yield ('path', 'callers', 'p50 ms', 'p99 ms', 'calls/s')
    yield _make_row('direct', 1, report.direct_p50_ms, report.direct_p99_ms)
    yield _make_row('routed', 1, report.routed_p50_ms, report.routed_p99_ms)
    yield _make_row('added', 1, report.added_p50_ms, report.added_p99_ms)
    yield _make_row(
        'direct',
        CONCURRENT_CALLERS,
        report.busy_direct_p50_ms,
        report.busy_direct_p99_ms,
        report.direct_calls_per_second,
    )
    yield _make_row(
        'routed',
        CONCURRENT_CALLERS,
        report.busy_routed_p50_ms,
        report.busy_routed_p99_ms,
        report.calls_per_second,
    )


def _make_row(
    path: str,
    callers: int,
    p50_ms: float,
    p99_ms: float,
    rate: float | None = None,
) -> tuple[str, ...]:
    formatted_rate = '' if rate is None else f'{rate:.0f}'
    return (
        path,
        str(callers),
        f'{p50_ms:.3f}',
        f'{p99_ms:.3f}',
        formatted_rate,
    )


async def run_bench() -> BenchReport:
    """Start an entry host and a backend server, and measure both paths."""
    with tempfile.TemporaryDirectory(prefix='ebonystream-') as directory:
        cluster = _make_cluster(directory)
        async with trio.open_nursery() as nursery:
            await start_cluster(nursery, cluster)
            await publish(cluster, make_lists())
            await wait_for_configuration(cluster, 1)
            report = await _measure(cluster)
            nursery.cancel_scope.cancel()
    return report


def main() -> None:
    """Run the benchmark and print its report."""
    report = launch(run_bench)
    if report is None:
        sys.exit(EXIT_NO_REPORT)
    print(format_table(list(_list_rows(report))))
    print(
        f'entry host busy {report.entry_busy_share:.0%}, '
        f'{report.entry_cpu_ms_per_call:.3f} ms of processor time a call',
    )
    print(msgspec.json.encode(report).decode())
    sys.exit(1 if report.failed else 0)


if __name__ == '__main__':
    main()
