"""Version moves on entry hosts that run as processes, under load."""

from datetime import datetime, timedelta

import httpx
import pytest
import trio
from test_move_processes import has_state, post
from test_peer_processes import ZONES, A, open_processes

from standins.client import connect, fetch
from standins.cluster import LOOPBACK, Service
from standins.demoplan import LOOKUP_SERVER, SERVICES, make_lists
from standins.operation import wait_for_configuration

pytestmark = pytest.mark.processes

MOVED = 'inspections'
NEW = Service(
    name=MOVED, version='v2', servers_per_zone=2, server_settings=LOOKUP_SERVER
)
CALLERS_PER_HOST = 2
CALL_INTERVAL_S = 0.02
CALLS_AFTER = 300
MAX_POLLS = 6000
OK = 200


async def publish_lists(cluster):
    lists = make_lists().model_dump(mode='json')
    body = {'based_on': 0, 'lists': lists}
    await post(f'{cluster.entry_hosts[0].admin_url}/v1/lists', body)
    await wait_for_configuration(cluster, 1)


async def send_calls(port, statuses):
    client = await connect(LOOPBACK, port)
    async with client.stream:
        while True:
            response = await fetch(
                client, 'GET', '/racks/7', headers={'x-customer': 'verein'}
            )
            statuses.append(response.status)
            await trio.sleep(CALL_INTERVAL_S)


def list_control_urls(cluster, version):
    return [
        f'http://{LOOPBACK}:{cluster.control_ports[server.zone]}'
        f'/control/{server.settings.name}'
        for server in cluster.backends
        if server.version == version
    ]


async def make_faulty(cluster, version, faults):
    async with httpx.AsyncClient() as client:
        for control in list_control_urls(cluster, version):
            response = await client.put(f'{control}/faults', json=faults)
            response.raise_for_status()


async def count_received(cluster):
    """Count the calls that the new version received, also those in flight."""
    received = 0
    async with httpx.AsyncClient() as client:
        for control in list_control_urls(cluster, NEW.version):
            status = (await client.get(control)).json()
            received += status['answered'] + status['in_flight']
    return received


async def request_move(hosts, duration_s):
    finish_by = datetime.now().astimezone() + timedelta(seconds=duration_s)
    body = {
        'id': 'm',
        'service': MOVED,
        'from_version': 'v1',
        'to_version': NEW.version,
        'finish_by': finish_by.isoformat(),
    }
    return await post(f'{hosts.admin_urls[A]}/v1/moves/versions', body)


def explains_progress(report):
    reason = report['reason']
    return 'route find-rack at ' in reason and 's left' in reason


async def await_calls(statuses, more):
    """Wait until more calls are answered; fail after MAX_POLLS polls."""
    expected = len(statuses) + more
    for _ in range(MAX_POLLS):
        if len(statuses) >= expected:
            return
        await trio.sleep(CALL_INTERVAL_S)
    raise AssertionError(f'{len(statuses)} answers, not {expected}')


@pytest.mark.parametrize(
    ('duration_s', 'faults', 'state', 'reason', 'continues'),
    [
        (60, {'error_rate': 1}, 'taken_back', 'it fails more often', False),
        (6, {}, 'finished', '', True),
    ],
    ids=['bad', 'good'],
)
async def test_move_is_finished_or_rolled_back_under_load(
    tmp_path, duration_s, faults, state, reason, continues
):
    statuses = []
    async with open_processes(tmp_path, (*SERVICES, NEW)) as hosts:
        cluster = hosts.cluster
        await publish_lists(cluster)
        await make_faulty(cluster, NEW.version, faults)
        assert (await request_move(hosts, duration_s))['state'] in {
            'asked',
            'running',
        }
        async with trio.open_nursery() as nursery:
            for entry_host in cluster.entry_hosts * CALLERS_PER_HOST:
                nursery.start_soon(send_calls, entry_host.caller_port, statuses)
            await hosts.wait_for(A, '/v1/moves/m', explains_progress)
            report = await hosts.wait_for(A, '/v1/moves/m', has_state(state))
            received = await count_received(cluster)
            before = len(statuses)
            await await_calls(statuses, CALLS_AFTER)
            received_later = await count_received(cluster)
            nursery.cancel_scope.cancel()
    assert reason in report['reason']
    assert received
    assert (received_later > received) == continues
    # Each caller may have had one call in flight when the report came.
    statuses_later = statuses[before + len(ZONES) * CALLERS_PER_HOST :]
    assert set(statuses_later) == {OK}
    print(
        f'{state}: {before} calls before the report, {received} received by '
        f'the new version, {received_later - received} after it; '
        f'{report["reason"]}'
    )
