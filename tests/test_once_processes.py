"""Keys run once over entry hosts as processes, through real signals."""

import signal

import pytest
import trio
from test_peer_processes import A, B, C, open_processes

from standins.client import connect, fetch
from standins.cluster import LOOPBACK
from standins.demo import make_routed_send
from standins.demoplan import JOBS, SERVICES, make_lists
from standins.load import Outcome, run_load
from standins.operation import await_configuration, publish, read_counts

pytestmark = pytest.mark.processes

BOOKINGS = tuple(job for job in JOBS if job.once)
RATE = 60
PAUSE_S = 2
CALLERS = 6
OK = 200
WARM_CALLS = 200


async def pause(hosts):
    """Stop a process for longer than its peers believe in it."""
    hosts.running[B].send_signal(signal.SIGSTOP)
    await hosts.wait_for_states(A, b='unreachable')
    hosts.running[B].send_signal(signal.SIGCONT)
    await hosts.wait_for_states(A, b='reachable')


async def kill(hosts):
    """Kill a process, and start it anew."""
    hosts.running[C].kill()
    await hosts.running[C].wait()
    await hosts.start(C)
    await hosts.wait_for_states(A, c='reachable')


async def replace(hosts):
    """Stop each process in an orderly way, one after another."""
    for name in (B, C):
        hosts.running[name].terminate()
        assert await hosts.running[name].wait() == 0
        await hosts.start(name)
        await hosts.wait_for_states(A, **{name[-1]: 'reachable'})


@pytest.mark.parametrize('fault', [pause, kill, replace])
async def test_keys_run_once(tmp_path, fault):
    samples = []
    async with open_processes(tmp_path, SERVICES) as hosts:
        await publish(hosts.cluster, make_lists())
        await await_configuration(hosts.cluster, 1)
        stop = trio.Event()

        async def load():
            samples.extend(
                await run_load(
                    make_routed_send(hosts.cluster),
                    BOOKINGS,
                    rate=RATE,
                    seed=1,
                    stop=stop,
                    twice_every=3,
                )
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(load)
            await trio.sleep(PAUSE_S)
            await fault(hosts)
            await trio.sleep(PAUSE_S)
            stop.set()
        counts = await read_counts(hosts.cluster)
    told = {
        sample.ticket.key: {one.outcome for one in sample.verdicts}
        for sample in samples
    }
    ran = {key for key, seen in told.items() if Outcome.ANSWERED in seen}
    not_run = {key for key, seen in told.items() if Outcome.NOT_RUN in seen}
    assert ran
    assert counts.doubled == 0
    assert all(counts.runs.get(key) == 1 for key in ran)
    assert not any(counts.runs.get(key) for key in not_run)
    assert not any(one.crossed for sample in samples for one in sample.verdicts)
    print(
        f'{fault.__name__}: {len(told)} keys, {len(ran)} ran, '
        f'{len(not_run)} not run, {len(told.keys() - ran - not_run)} unknown'
    )


async def send_until_closed(port, answers, warm):
    """Send one call after another until an answer closes the connection."""
    client = await connect(LOOPBACK, port)
    async with client.stream:
        while True:
            reply = await fetch(
                client, 'GET', '/racks/7', headers={'x-customer': 'verein'}
            )
            answers.append(reply.status)
            if answers.count(OK) >= WARM_CALLS:
                warm.set()
            if reply.headers.get('connection') == 'close':
                return


async def test_a_planned_stop_cuts_no_call(tmp_path):
    """Each call that was sent gets its whole answer; then the host ends."""
    answers = []
    warm = trio.Event()
    async with open_processes(tmp_path, SERVICES) as hosts:
        await publish(hosts.cluster, make_lists())
        await await_configuration(hosts.cluster, 1)
        async with trio.open_nursery() as nursery:
            for _ in range(CALLERS):
                port = hosts.cluster.entries[0].caller_port
                nursery.start_soon(send_until_closed, port, answers, warm)
            await warm.wait()
            hosts.running[A].terminate()
        assert await hosts.running[A].wait() == 0
    assert answers[-CALLERS:] == [OK] * CALLERS
    print(f'{len(answers)} calls, {answers.count(OK)} with status 200')
