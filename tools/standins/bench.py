"""Measures what one entry host adds to a call, against the direct path.

Both paths are measured in turns within one run, by the same client on kept
connections, to a backend server that takes no time. The last line printed is
one JSON object.
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
from standins.cluster import LOOPBACK, Cluster, Service, lay_out
from standins.launch import launch
from standins.operation import await_configuration, publish
from standins.startup import ENTRY_MODULE, start_cluster
from standins.statistic import find_percentile, format_table

MS_PER_SECOND = 1000
WARM_UP_CALLS = 300
TURNS = 40
CALLS_IN_TURN = 50
CALLERS = 8
CALLS_OF_CALLER = 400
SLOTS = 64
OK_STATUS = 200
NO_REPORT = 2
HEADERS = MappingProxyType(
    {'x-customer': 'verein', 'x-route': 'find-rack'},
)


class Figures(msgspec.Struct, kw_only=True):
    """The last line of the report.

    Attributes:
        added_p50_ms: Routed less direct, one call at a time, at the median.
        added_p99_ms: The same at the 99th percentile.
        calls_per_second: What the entry host carries, many calls at a time.
        direct_calls_per_second: The same without the entry host.
        direct_p50_ms: Direct, one call at a time.
        direct_p99_ms: Direct, one call at a time.
        routed_p50_ms: Routed, one call at a time.
        routed_p99_ms: Routed, one call at a time.
        busy_routed_p50_ms: Routed, many calls at a time.
        busy_routed_p99_ms: Routed, many calls at a time.
        busy_direct_p50_ms: Direct, many calls at a time.
        busy_direct_p99_ms: Direct, many calls at a time.
        entry_busy_share: Processor time of the entry host by wall time, many
            calls at a time; well below 1, the client or the backend server
            is the limit, and the entry host could carry more.
        entry_cpu_ms_per_call: Processor time of the entry host for one call,
            many calls at a time.
        calls: How many calls were measured.
        failed: How many of them were not answered with status 200.
        failures: What those answers said, and how often.
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
class Tally:
    """What was measured on one path in one way.

    Attributes:
        took_ms: How long each call took.
        failures: The bodies of answers without status 200, and how often.
        seconds: How long it took altogether.
        cpu_seconds: Processor time that the entry host took meanwhile.
    """

    took_ms: list[float] = attrs.field(factory=list)
    failures: Counter[str] = attrs.field(factory=Counter)
    seconds: float = 0
    cpu_seconds: float = 0

    @property
    def p50(self) -> float:
        """The median, in milliseconds."""
        return find_percentile(self.took_ms, 50)

    @property
    def p99(self) -> float:
        """The 99th percentile, in milliseconds."""
        return find_percentile(self.took_ms, 99)

    @property
    def rate(self) -> float:
        """Calls per second."""
        return len(self.took_ms) / self.seconds

    @property
    def cpu_per_call_ms(self) -> float:
        """Processor time of the entry host for one call, in milliseconds."""
        return self.cpu_seconds * MS_PER_SECOND / len(self.took_ms)


async def measure_single(direct: Client, routed: Client) -> tuple[Tally, Tally]:
    """Measure both paths in turns, one call at a time.

    Args:
        direct: A connection to the backend server.
        routed: A connection to the entry host.
    """
    tallies = (Tally(), Tally())
    for client in (direct, routed):
        await _send_calls(client, Tally(), WARM_UP_CALLS)
    for _ in range(TURNS):
        await _send_calls(direct, tallies[0], CALLS_IN_TURN)
        await _send_calls(routed, tallies[1], CALLS_IN_TURN)
    return tallies


async def measure_busy(port: int) -> Tally:
    """Measure one path with many calls at a time.

    Args:
        port: The port of the path.
    """
    clients = [await connect(LOOPBACK, port) for _ in range(CALLERS)]
    for client in clients:
        await _send_calls(client, Tally(), 1)
    tally = Tally()
    begun = trio.current_time()
    used = _read_cpu()
    async with trio.open_nursery() as callers:
        for client in clients:
            callers.start_soon(_send_calls, client, tally, CALLS_OF_CALLER)
    tally.seconds = trio.current_time() - begun
    tally.cpu_seconds = _read_cpu() - used
    for client in clients:
        await client.stream.aclose()
    return tally


def _read_cpu() -> float:
    """Read the processor time of the entry host, in seconds."""
    children = psutil.Process().children()
    entry = next(one for one in children if ENTRY_MODULE in one.cmdline())
    used = entry.cpu_times()
    return float(used.user + used.system)


async def _send_calls(client: Client, tally: Tally, number: int) -> None:
    for _ in range(number):
        begun = trio.current_time()
        reply = await fetch(client, 'GET', '/racks/7', headers=HEADERS)
        took_ms = (trio.current_time() - begun) * MS_PER_SECOND
        tally.took_ms.append(took_ms)
        if reply.status != OK_STATUS:
            tally.failures[f'{reply.status} {reply.body.decode()}'] += 1


def make_lists() -> PlanLists:
    """Make the lists of one customer with one route."""
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


def _lay_out(directory: str) -> Cluster:
    built = ServerSettings(
        name='',
        port=0,
        slots=SLOTS,
        default_mean_ms=0,
        connection_cost_ms=0,
        probe_cost_ms=0,
    )
    return lay_out(
        Path(directory),
        zones=('ch-central-a',),
        services=(Service(name='inspections', per_zone=1, built=built),),
        limits=BackendSettings(slots=SLOTS),
    )


async def _measure(cluster: Cluster) -> Figures:
    ports = (cluster.backends[0].built.port, cluster.entries[0].caller_port)
    clients = [await connect(LOOPBACK, port) for port in ports]
    direct, routed = await measure_single(*clients)
    busy_direct, busy_routed = [await measure_busy(port) for port in ports]
    tallies = (direct, routed, busy_direct, busy_routed)
    failures = sum((tally.failures for tally in tallies), Counter[str]())
    return Figures(
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
        entry_cpu_ms_per_call=busy_routed.cpu_per_call_ms,
        calls=sum(len(tally.took_ms) for tally in tallies),
        failed=failures.total(),
        failures=failures,
    )


def _list_rows(figures: Figures) -> Iterator[tuple[str, ...]]:
    yield ('path', 'callers', 'p50 ms', 'p99 ms', 'calls/s')
    yield _make_row('direct', 1, figures.direct_p50_ms, figures.direct_p99_ms)
    yield _make_row('routed', 1, figures.routed_p50_ms, figures.routed_p99_ms)
    yield _make_row('added', 1, figures.added_p50_ms, figures.added_p99_ms)
    yield _make_row(
        'direct',
        CALLERS,
        figures.busy_direct_p50_ms,
        figures.busy_direct_p99_ms,
        figures.direct_calls_per_second,
    )
    yield _make_row(
        'routed',
        CALLERS,
        figures.busy_routed_p50_ms,
        figures.busy_routed_p99_ms,
        figures.calls_per_second,
    )


def _make_row(
    path: str,
    callers: int,
    p50_ms: float,
    p99_ms: float,
    rate: float | None = None,
) -> tuple[str, ...]:
    shown = '' if rate is None else f'{rate:.0f}'
    return (path, str(callers), f'{p50_ms:.3f}', f'{p99_ms:.3f}', shown)


async def run_bench() -> Figures:
    """Start one entry host and one backend server, and measure both paths."""
    with tempfile.TemporaryDirectory(prefix='ebonystream-') as directory:
        cluster = _lay_out(directory)
        async with trio.open_nursery() as nursery:
            await start_cluster(nursery, cluster)
            await publish(cluster, make_lists())
            await await_configuration(cluster, 1)
            figures = await _measure(cluster)
            nursery.cancel_scope.cancel()
    return figures


def main() -> None:
    """Run the bench and print its report."""
    figures = launch(run_bench)
    if figures is None:
        sys.exit(NO_REPORT)
    print(format_table(list(_list_rows(figures))))
    print(
        f'entry host busy {figures.entry_busy_share:.0%}, '
        f'{figures.entry_cpu_ms_per_call:.3f} ms of processor time a call',
    )
    print(msgspec.json.encode(figures).decode())
    sys.exit(1 if figures.failed else 0)


if __name__ == '__main__':
    main()
