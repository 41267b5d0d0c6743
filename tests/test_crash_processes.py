"""A request that ends its servers, over entry hosts as processes."""

import itertools

import attrs
import httpx
import pytest
import trio
from test_once_processes import BOOKINGS
from test_peer_processes import ZONES, open_processes
from test_version_processes import list_control_urls, make_faulty, publish_lists
from uuid6 import uuid7

from standins.client import ConnectionLost, connect, fetch
from standins.cluster import LOOPBACK
from standins.demo import make_routed_send
from standins.demoplan import SERVICES
from standins.load import Outcome, run_load
from standins.operation import read_counts

pytestmark = pytest.mark.processes

PER_ZONE = 2
BUILT = tuple(
    attrs.evolve(one, per_zone=PER_ZONE) if one.name == 'bookings' else one
    for one in SERVICES
)
BAD = 'bad'
REFUSED = 422
MOST_CRASHES = 2 * len(ZONES)
"""Two for each entry host, where copies are closer than a heartbeat."""
MAX_ROUNDS = 40
RATE = 30


async def send_bad(port):
    client = await connect(LOOPBACK, port)
    async with client.stream:
        headers = {
            'x-customer': 'verein',
            'idempotency-key': str(uuid7()),
        }
        try:
            reply = await fetch(
                client, 'POST', '/bookings', headers=headers, body=BAD.encode()
            )
        except ConnectionLost:
            return None
    return reply.status


async def send_in_turn(ports):
    return [await send_bad(port) for port in ports]


async def send_at_once(ports):
    told = []

    async def send(port):
        told.append(await send_bad(port))

    async with trio.open_nursery() as nursery:
        for port in ports:
            nursery.start_soon(send, port)
    return told


async def send_until_refused(cluster, send):
    """Send copies until each entry host refuses them; bounded rounds."""
    ports = [entry.caller_port for entry in cluster.entries]
    told = []
    for _ in range(MAX_ROUNDS):
        told.append(await send(ports))
        if set(told[-1]) == {REFUSED}:
            return list(itertools.chain(*told))
    raise AssertionError(told)


async def count_crashes(cluster):
    """Count the runs of the servers beyond their first."""
    runs = 0
    controls = list_control_urls(cluster, 'v1')
    async with httpx.AsyncClient() as client:
        for control in controls:
            boot = (await client.get(control)).json()['boot_id']
            runs += int(boot.rpartition('-')[2])
    return runs - len(controls)


def check_told(samples, counts):
    """Check that what callers were told of their keys is what ran."""
    told = {sample.ticket.key: sample.outcome for sample in samples}
    ran = {key for key, one in told.items() if one is Outcome.ANSWERED}
    not_run = {key for key, one in told.items() if one is Outcome.NOT_RUN}
    assert counts.doubled == 0
    assert all(counts.runs.get(key) == 1 for key in ran)
    assert not any(counts.runs.get(key) for key in not_run)
    assert not any(one.crossed for sample in samples for one in sample.verdicts)
    return f'{len(told)} keys beside, {len(ran)} ran, {len(not_run)} not run'


@pytest.mark.parametrize('send', [send_in_turn, send_at_once])
async def test_crashes_are_few_and_others_told_truly(tmp_path, send):
    samples = []
    async with open_processes(tmp_path, BUILT) as hosts:
        cluster = hosts.cluster
        await publish_lists(cluster)
        await make_faulty(cluster, 'v1', {'crash_body': BAD})
        stop = trio.Event()

        async def load():
            samples.extend(
                await run_load(
                    make_routed_send(cluster),
                    BOOKINGS,
                    rate=RATE,
                    seed=1,
                    stop=stop,
                )
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(load)
            refusals = await send_until_refused(cluster, send)
            stop.set()
        crashes = await count_crashes(cluster)
        beside = check_told(samples, await read_counts(cluster))
    assert 1 <= crashes <= MOST_CRASHES
    assert any(one.outcome is Outcome.ANSWERED for one in samples)
    print(f'{send.__name__}: {len(refusals)} sent, {crashes} crashes, {beside}')
