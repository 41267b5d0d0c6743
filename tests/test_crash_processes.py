"""A request that crashes servers, sent to entry hosts that run as processes."""

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
from standins.demo import make_routed_sender
from standins.demoplan import SERVICES
from standins.load import Outcome, run_load
from standins.operation import read_run_counts

pytestmark = pytest.mark.processes

SERVERS_PER_ZONE = 2
TEST_SERVICES = tuple(
    attrs.evolve(service, servers_per_zone=SERVERS_PER_ZONE)
    if service.name == 'bookings'
    else service
    for service in SERVICES
)
CRASH_BODY = 'bad'
REFUSED_STATUS = 422
MAX_CRASHES = 2 * len(ZONES)
"""Two for each entry host if the copies arrive within one heartbeat."""
MAX_ROUNDS = 40
RATE = 30


async def send_crashing_request(port):
    client = await connect(LOOPBACK, port)
    async with client.stream:
        headers = {
            'x-customer': 'verein',
            'idempotency-key': str(uuid7()),
        }
        try:
            response = await fetch(
                client,
                'POST',
                '/bookings',
                headers=headers,
                body=CRASH_BODY.encode(),
            )
        except ConnectionLost:
            return None
    return response.status


async def send_sequentially(ports):
    return [await send_crashing_request(port) for port in ports]


async def send_concurrently(ports):
    statuses = []

    async def send(port):
        statuses.append(await send_crashing_request(port))

    async with trio.open_nursery() as nursery:
        for port in ports:
            nursery.start_soon(send, port)
    return statuses


async def send_until_refused(cluster, send):
    """Send copies until each entry host refuses them, at most MAX_ROUNDS times.

    Returns the statuses of all copies.
    """
    ports = [host.caller_port for host in cluster.entry_hosts]
    rounds = []
    for _ in range(MAX_ROUNDS):
        rounds.append(await send(ports))
        if set(rounds[-1]) == {REFUSED_STATUS}:
            return list(itertools.chain(*rounds))
    raise AssertionError(rounds)


async def count_crashes(cluster):
    """Count the starts of the servers after the first start of each."""
    starts = 0
    controls = list_control_urls(cluster, 'v1')
    async with httpx.AsyncClient() as client:
        for control in controls:
            boot_id = (await client.get(control)).json()['boot_id']
            starts += int(boot_id.rpartition('-')[2])
    return starts - len(controls)


def check_outcomes(records, counts):
    """Check that the reported outcome of each key agrees with its runs."""
    outcomes = {record.call.key: record.outcome for record in records}
    ran = {
        key for key, outcome in outcomes.items() if outcome is Outcome.ANSWERED
    }
    not_run = {
        key for key, outcome in outcomes.items() if outcome is Outcome.NOT_RUN
    }
    assert counts.doubled == 0
    assert all(counts.runs.get(key) == 1 for key in ran)
    assert not any(counts.runs.get(key) for key in not_run)
    assert not any(
        result.crossed for record in records for result in record.results
    )
    return f'{len(outcomes)} other keys, {len(ran)} ran, {len(not_run)} not run'


@pytest.mark.parametrize('send', [send_sequentially, send_concurrently])
async def test_crashes_are_bounded_and_other_outcomes_are_true(tmp_path, send):
    """Guards against a request that crashes one server after another.

    Each entry host that gets a copy of the request could crash another server.
    Other calls run meanwhile, and their reported outcomes must be correct.
    """
    records = []
    async with open_processes(tmp_path, TEST_SERVICES) as hosts:
        cluster = hosts.cluster
        await publish_lists(cluster)
        await make_faulty(cluster, 'v1', {'crash_body': CRASH_BODY})
        stop = trio.Event()

        async def load():
            records.extend(
                await run_load(
                    make_routed_sender(cluster),
                    BOOKINGS,
                    rate=RATE,
                    seed=1,
                    stop=stop,
                )
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(load)
            statuses = await send_until_refused(cluster, send)
            stop.set()
        crashes = await count_crashes(cluster)
        other_calls = check_outcomes(records, await read_run_counts(cluster))
    assert 1 <= crashes <= MAX_CRASHES
    assert any(record.outcome is Outcome.ANSWERED for record in records)
    print(
        f'{send.__name__}: {len(statuses)} sent, {crashes} crashes, '
        f'{other_calls}'
    )
