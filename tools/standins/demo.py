"""Runs the whole system on loopback for less than a minute and reports.

Two customers send lookups, which may run twice, and bookings, which must not,
first straight to the backend servers and then through three entry hosts while
operators take one availability zone out and back. The last line printed is one
JSON object.
"""

import signal
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

import trio

from ebonystream.move import ZoneDirection
from standins.cluster import Backend, Cluster, lay_out
from standins.demoplan import (
    JOBS,
    LIMITS,
    MOVED_ZONE,
    SERVICES,
    ZONES,
    make_lists,
)
from standins.demoreport import Mark, Phase, Run, format_report, summarize
from standins.launch import launch
from standins.load import (
    Pool,
    Sample,
    Send,
    Ticket,
    judge_direct,
    judge_routed,
    make_sender,
    run_load,
)
from standins.operation import (
    await_configuration,
    move_zone,
    publish,
    read_counts,
)
from standins.startup import start_cluster

CALLS_PER_SECOND = 120
DIRECT_SECONDS = 8
PHASE_SECONDS = 5
TWICE_EVERY = 20
SEED = 7
NO_REPORT = 2

Say = Callable[[str], None]
"""Tells how far the demo got."""


def make_direct_send(backends: tuple[Backend, ...]) -> Send:
    """Make the path straight to the backend servers, each in its turn.

    Args:
        backends: The backend servers.
    """
    pools: dict[str, list[Pool]] = {}
    for backend in backends:
        pools.setdefault(backend.service, []).append(Pool(backend.built.port))

    def choose(ticket: Ticket) -> Pool:
        turn = pools[ticket.job.service]
        turn.append(turn.pop(0))
        return turn[-1]

    return make_sender(choose, judge_direct)


def make_routed_send(cluster: Cluster) -> Send:
    """Make the path through the entry hosts, each in its turn.

    Args:
        cluster: What runs.
    """
    turn = [Pool(entry.caller_port) for entry in cluster.entries]

    def choose(_: Ticket) -> Pool:
        turn.append(turn.pop(0))
        return turn[-1]

    return make_sender(choose, judge_routed)


async def load_direct(cluster: Cluster) -> list[Sample]:
    """Send calls straight to the backend servers for a while.

    Args:
        cluster: What runs.
    """
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_set_after, stop, DIRECT_SECONDS)
        return await run_load(
            make_direct_send(cluster.backends),
            JOBS,
            rate=CALLS_PER_SECOND,
            seed=SEED,
            stop=stop,
        )


async def load_routed(cluster: Cluster) -> tuple[list[Sample], list[Mark]]:
    """Send calls through the entry hosts while one zone leaves and returns.

    Args:
        cluster: What runs.
    """
    stop = trio.Event()
    marks: list[Mark] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_operate, cluster, marks, stop)
        samples = await run_load(
            make_routed_send(cluster),
            JOBS,
            rate=CALLS_PER_SECOND,
            seed=SEED,
            stop=stop,
            twice_every=TWICE_EVERY,
        )
    return samples, marks


async def _set_after(event: trio.Event, seconds: float) -> None:
    await trio.sleep(seconds)
    event.set()


async def _operate(
    cluster: Cluster,
    marks: list[Mark],
    stop: trio.Event,
) -> None:
    _mark(marks, Phase.BEFORE)
    await trio.sleep(PHASE_SECONDS)
    _mark(marks, Phase.LEAVING)
    await move_zone(cluster, MOVED_ZONE, ZoneDirection.OUT)
    _mark(marks, Phase.OUT)
    await trio.sleep(PHASE_SECONDS)
    _mark(marks, Phase.RETURNING)
    await move_zone(cluster, MOVED_ZONE, ZoneDirection.BACK)
    _mark(marks, Phase.BACK)
    await trio.sleep(PHASE_SECONDS)
    stop.set()


def _mark(marks: list[Mark], phase: Phase) -> None:
    marks.append(Mark(phase, trio.current_time()))


async def run_system(cluster: Cluster, say: Say) -> Run:
    """Start everything, send all calls, and stop everything.

    Args:
        cluster: What to run.
        say: Tells how far it got.
    """
    async with trio.open_nursery() as nursery:
        await start_cluster(nursery, cluster)
        say('the processes are ready')
        await publish(cluster, make_lists())
        await await_configuration(cluster, 1)
        say('both lists are in force on every entry host')
        direct = await load_direct(cluster)
        say('the direct calls are done')
        routed, marks = await load_routed(cluster)
        say('the routed calls and the zone move are done')
        counts = await read_counts(cluster)
        nursery.cancel_scope.cancel()
    say('the processes are stopped')
    return Run(
        direct=direct,
        routed=routed,
        marks=marks,
        counts=counts,
        moved_servers=frozenset(
            backend.built.name
            for backend in cluster.backends
            if backend.zone == MOVED_ZONE
        ),
    )


async def run_demo() -> Run | None:
    """Run the system to the end, or give None if a signal stops it."""
    run: Run | None = None
    with tempfile.TemporaryDirectory(prefix='ebonystream-') as directory:
        cluster = lay_out(
            Path(directory),
            zones=ZONES,
            services=SERVICES,
            limits=LIMITS,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_stop_on_signal, nursery.cancel_scope)
            run = await run_system(cluster, make_progress())
            nursery.cancel_scope.cancel()
    return run


def make_progress() -> Say:
    """Make the function that prints how far the demo got, and when."""
    begun = trio.current_time()

    def say(line: str) -> None:
        seconds = trio.current_time() - begun
        print(f'{seconds:5.1f} s  {line}', flush=True)

    return say


async def _stop_on_signal(scope: trio.CancelScope) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            scope.cancel()


def main() -> None:
    """Run the demo and print its report."""
    run = launch(run_demo)
    if run is None:
        sys.exit(NO_REPORT)
    print(f'\n{format_report(run)}')
    sys.exit(0 if summarize(run).good else 1)


if __name__ == '__main__':
    main()
