"""Keys run at most once when processes of entry hosts get real signals."""

import signal

import pytest
import trio
from test_peer_processes import A, B, C, open_processes

from standins.client import connect, fetch
from standins.cluster import LOOPBACK
from standins.demo import make_routed_sender
from standins.demoplan import CALL_KINDS, SERVICES, make_lists
from standins.load import Outcome, run_load
from standins.operation import publish, read_run_counts, wait_for_configuration

pytestmark = pytest.mark.processes

BOOKINGS = tuple(job for job in CALL_KINDS if job.once)
RATE = 60
PAUSE_S = 2
CALLERS = 6
OK = 200
WARM_CALLS = 200


async def pause(hosts):
    """Suspend a process until its peers consider it unreachable."""
    hosts.running[B].send_signal(signal.SIGSTOP)
    await hosts.wait_for_states(A, b='unreachable')
    hosts.running[B].send_signal(signal.SIGCONT)
    await hosts.wait_for_states(A, b='reachable')


async def kill(hosts):
    """Kill a process and start it again."""
    hosts.running[C].kill()
    await hosts.running[C].wait()
    await hosts.start(C)
    await hosts.wait_for_states(A, c='reachable')


async def replace(hosts):
    """Restart processes gracefully, one after another."""
    for name in (B, C):
        hosts.running[name].terminate()
        assert await hosts.running[name].wait() == 0
        await hosts.start(name)
        await hosts.wait_for_states(A, **{name[-1]: 'reachable'})


@pytest.mark.parametrize('fault', [pause, kill, replace])
async def test_keys_run_at_most_once(tmp_path, fault):
    samples = []
    async with open_processes(tmp_path, SERVICES) as hosts:
        await publish(hosts.cluster, make_lists())
        await wait_for_configuration(hosts.cluster, 1)
        stop = trio.Event()

        async def load():
            samples.extend(
                await run_load(
                    make_routed_sender(hosts.cluster),
                    BOOKINGS,
                    rate=RATE,
                    seed=1,
                    stop=stop,
                    duplicate_every=3,
                )
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(load)
            await trio.sleep(PAUSE_S)
            await fault(hosts)
            await trio.sleep(PAUSE_S)
            stop.set()
        counts = await read_run_counts(hosts.cluster)
    outcomes = {
        sample.call.key: {result.outcome for result in sample.results}
        for sample in samples
    }
    ran = {key for key, found in outcomes.items() if Outcome.ANSWERED in found}
    not_run = {
        key for key, found in outcomes.items() if Outcome.NOT_RUN in found
    }
    assert ran
    assert counts.doubled == 0
    assert all(counts.runs.get(key) == 1 for key in ran)
    assert not any(counts.runs.get(key) for key in not_run)
    assert not any(
        result.crossed for sample in samples for result in sample.results
    )
    print(
        f'{fault.__name__}: {len(outcomes)} keys, {len(ran)} ran, '
        f'{len(not_run)} not run, '
        f'{len(outcomes.keys() - ran - not_run)} unknown'
    )


async def send_until_closed(port, statuses, warm):
    """Send calls until a response announces that the connection closes."""
    client = await connect(LOOPBACK, port)
    async with client.stream:
        while True:
            response = await fetch(
                client, 'GET', '/racks/7', headers={'x-customer': 'verein'}
            )
            statuses.append(response.status)
            if statuses.count(OK) >= WARM_CALLS:
                warm.set()
            if response.headers.get('connection') == 'close':
                return


async def test_graceful_shutdown_completes_calls(tmp_path):
    """All calls in flight get complete responses before the process exits."""
    statuses = []
    warm = trio.Event()
    async with open_processes(tmp_path, SERVICES) as hosts:
        await publish(hosts.cluster, make_lists())
        await wait_for_configuration(hosts.cluster, 1)
        async with trio.open_nursery() as nursery:
            for _ in range(CALLERS):
                port = hosts.cluster.entry_hosts[0].caller_port
                nursery.start_soon(send_until_closed, port, statuses, warm)
            await warm.wait()
            hosts.running[A].terminate()
        assert await hosts.running[A].wait() == 0
    assert statuses[-CALLERS:] == [OK] * CALLERS
    print(f'{len(statuses)} calls, {statuses.count(OK)} with status 200')
