"""Runs the whole system on loopback for less than a minute and reports.

Two customers send lookups, which may run twice, and bookings, which must not.
They send them first to the backend servers and then through three entry hosts,
while operators take one availability zone out and bring it back. The last line
printed is the summary as a JSON object.
"""

import signal
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

import trio

from ebonystream.move import ZoneDirection
from standins.cluster import Backend, Cluster, make_cluster
from standins.demoplan import (
    BACKEND_SETTINGS,
    CALL_KINDS,
    MOVED_ZONE,
    SERVICES,
    ZONES,
    make_lists,
)
from standins.demoreport import (
    DemoRun,
    Phase,
    PhaseStart,
    format_report,
    summarize,
)
from standins.launch import launch
from standins.load import (
    Call,
    CallRecord,
    ConnectionPool,
    Send,
    make_sender,
    read_entry_host_response,
    read_server_response,
    run_load,
)
from standins.operation import (
    move_zone,
    publish,
    read_run_counts,
    wait_for_configuration,
)
from standins.startup import start_cluster

CALLS_PER_SECOND = 120
DIRECT_SECONDS = 8
PHASE_SECONDS = 5
DUPLICATE_EVERY = 20
"""One in this many routed calls is sent twice at once if it has a key."""

SEED = 7
EXIT_NO_REPORT = 2

PrintProgress = Callable[[str], None]
"""Print a line about the progress of the demo."""


def make_direct_sender(backends: tuple[Backend, ...]) -> Send:
    """Return the path that uses the backend servers in round-robin order.

    Args:
        backends: The backend servers.
    """
    pools: dict[str, list[ConnectionPool]] = {}
    for backend in backends:
        pools.setdefault(backend.service, []).append(
            ConnectionPool(backend.settings.port)
        )

    def choose_pool(call: Call) -> ConnectionPool:
        service_pools = pools[call.kind.service]
        service_pools.append(service_pools.pop(0))
        return service_pools[-1]

    return make_sender(choose_pool, read_server_response)


def make_routed_sender(cluster: Cluster) -> Send:
    """Return the path that uses the entry hosts in round-robin order.

    Args:
        cluster: The running cluster.
    """
    pools = [
        ConnectionPool(entry_host.caller_port)
        for entry_host in cluster.entry_hosts
    ]

    def choose_pool(_: Call) -> ConnectionPool:
        pools.append(pools.pop(0))
        return pools[-1]

    return make_sender(choose_pool, read_entry_host_response)


async def run_direct_load(cluster: Cluster) -> list[CallRecord]:
    """Send calls to the backend servers for a fixed time.

    Args:
        cluster: The running cluster.
    """
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_set_after, stop, DIRECT_SECONDS)
        return await run_load(
            make_direct_sender(cluster.backends),
            CALL_KINDS,
            rate=CALLS_PER_SECOND,
            seed=SEED,
            stop=stop,
        )


async def run_routed_load(
    cluster: Cluster,
) -> tuple[list[CallRecord], list[PhaseStart]]:
    """Send calls through the entry hosts while a zone is taken out and back.

    Args:
        cluster: The running cluster.
    """
    stop = trio.Event()
    phase_starts: list[PhaseStart] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_move_zone_out_and_back, cluster, phase_starts, stop)
        records = await run_load(
            make_routed_sender(cluster),
            CALL_KINDS,
            rate=CALLS_PER_SECOND,
            seed=SEED,
            stop=stop,
            duplicate_every=DUPLICATE_EVERY,
        )
    return records, phase_starts


async def _set_after(event: trio.Event, seconds: float) -> None:
    await trio.sleep(seconds)
    event.set()


async def _move_zone_out_and_back(
    cluster: Cluster,
    phase_starts: list[PhaseStart],
    stop: trio.Event,
) -> None:
    _record_phase_start(phase_starts, Phase.BEFORE)
    await trio.sleep(PHASE_SECONDS)
    _record_phase_start(phase_starts, Phase.LEAVING)
    await move_zone(cluster, MOVED_ZONE, ZoneDirection.OUT)
    _record_phase_start(phase_starts, Phase.OUT)
    await trio.sleep(PHASE_SECONDS)
    _record_phase_start(phase_starts, Phase.RETURNING)
    await move_zone(cluster, MOVED_ZONE, ZoneDirection.BACK)
    _record_phase_start(phase_starts, Phase.BACK)
    await trio.sleep(PHASE_SECONDS)
    stop.set()


def _record_phase_start(phase_starts: list[PhaseStart], phase: Phase) -> None:
    phase_starts.append(PhaseStart(phase, trio.current_time()))


async def run_system(
    cluster: Cluster, print_progress: PrintProgress
) -> DemoRun:
    """Start the cluster, send calls on both paths, and stop the cluster.

    Args:
        cluster: The cluster to start.
        print_progress: Prints a line about the progress.
    """
    async with trio.open_nursery() as nursery:
        await start_cluster(nursery, cluster)
        print_progress('the processes are ready')
        await publish(cluster, make_lists())
        await wait_for_configuration(cluster, 1)
        print_progress('both lists are in force on every entry host')
        direct = await run_direct_load(cluster)
        print_progress('the direct calls are done')
        routed, phase_starts = await run_routed_load(cluster)
        print_progress('the routed calls and the zone move are done')
        counts = await read_run_counts(cluster)
        nursery.cancel_scope.cancel()
    print_progress('the processes are stopped')
    return DemoRun(
        direct=direct,
        routed=routed,
        phase_starts=phase_starts,
        run_counts=counts,
        moved_servers=frozenset(
            backend.settings.name
            for backend in cluster.backends
            if backend.zone == MOVED_ZONE
        ),
    )


async def run_demo() -> DemoRun | None:
    """Run the demo and return its results, or None if a signal stops it."""
    run: DemoRun | None = None
    with tempfile.TemporaryDirectory(prefix='ebonystream-') as directory:
        cluster = make_cluster(
            Path(directory),
            zones=ZONES,
            services=SERVICES,
            backend_settings=BACKEND_SETTINGS,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_stop_on_signal, nursery.cancel_scope)
            run = await run_system(cluster, make_print_progress())
            nursery.cancel_scope.cancel()
    return run


def make_print_progress() -> PrintProgress:
    """Return a function that prints progress with the time since now."""
    started_at = trio.current_time()

    def print_progress(line: str) -> None:
        seconds = trio.current_time() - started_at
        print(f'{seconds:5.1f} s  {line}', flush=True)

    return print_progress


async def _stop_on_signal(scope: trio.CancelScope) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            scope.cancel()


def main() -> None:
    """Run the demo and print its report."""
    run = launch(run_demo)
    if run is None:
        sys.exit(EXIT_NO_REPORT)
    print(f'\n{format_report(run)}')
    sys.exit(0 if summarize(run).passed else 1)


if __name__ == '__main__':
    main()
