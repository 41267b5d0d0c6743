"""Zone moves over entry hosts as processes, with signals and an outage."""

import signal

import httpx
import pytest
from test_peer_processes import A, C, open_processes

from standins.cluster import LOOPBACK

pytestmark = pytest.mark.processes


async def post(url, body):
    async with httpx.AsyncClient() as client:
        return (await client.post(url, json=body)).json()


async def ask_out(hosts, move, zone):
    body = {'id': move, 'zone': zone, 'direction': 'out'}
    return await post(f'{hosts.admins[A]}/v1/moves/zones', body)


def has_state(state):
    return lambda told: told.get('state') == state


async def test_a_move_waits_for_a_paused_host(tmp_path):
    async with open_processes(tmp_path) as hosts:
        hosts.running[C].send_signal(signal.SIGSTOP)
        assert (await ask_out(hosts, 'm', 'z'))['state'] == 'asked'
        told = await hosts.wait_for(
            A, '/v1/moves/m', lambda told: 'unreachable' in told['reason']
        )
        waiting = {one['host']: one['confirmed'] for one in told['waiting']}
        assert waiting[C] is False
        assert told['state'] == 'asked'
        hosts.running[C].send_signal(signal.SIGCONT)
        await hosts.wait_for(A, '/v1/moves/m', has_state('finished'))
        await hosts.wait_for(C, '/v1/moves/m', has_state('finished'))


async def test_a_move_before_an_outage_reaches_a_host_that_starts_in_it(
    tmp_path,
):
    async with open_processes(tmp_path) as hosts:
        hosts.running[C].kill()
        await hosts.running[C].wait()
        await ask_out(hosts, 'm', 'z')
        log = f'http://{LOOPBACK}:{hosts.cluster.log_port}/control'
        await post(log, {'outage': 'refuse'})
        await hosts.start(C)
        told = await hosts.wait_for(C, '/v1/moves/m', has_state('running'))
        assert told['finished_ms'] is None
        await post(log, {'outage': 'none'})
        await hosts.wait_for(C, '/v1/moves/m', has_state('finished'))
