"""Zone moves on hosts that run as processes, with signals and an outage."""

import signal

import httpx
import pytest
from test_peer_processes import A, C, open_processes

from standins.cluster import LOOPBACK

pytestmark = pytest.mark.processes


async def post(url, body):
    async with httpx.AsyncClient() as client:
        return (await client.post(url, json=body)).json()


async def evacuate(hosts, move, zone):
    body = {'id': move, 'zone': zone, 'direction': 'out'}
    return await post(f'{hosts.admin_urls[A]}/v1/moves/zones', body)


def has_state(state):
    return lambda report: report.get('state') == state


async def test_zone_move_waits_for_a_paused_host(tmp_path):
    async with open_processes(tmp_path) as hosts:
        hosts.running[C].send_signal(signal.SIGSTOP)
        assert (await evacuate(hosts, 'm', 'z'))['state'] == 'asked'
        report = await hosts.wait_for(
            A, '/v1/moves/m', lambda report: 'unreachable' in report['reason']
        )
        confirmed = {
            host['host']: host['confirmed'] for host in report['waiting']
        }
        assert confirmed[C] is False
        assert report['state'] == 'asked'
        hosts.running[C].send_signal(signal.SIGCONT)
        await hosts.wait_for(A, '/v1/moves/m', has_state('finished'))
        await hosts.wait_for(C, '/v1/moves/m', has_state('finished'))


async def test_host_started_during_a_log_outage_learns_of_a_move(tmp_path):
    async with open_processes(tmp_path) as hosts:
        hosts.running[C].kill()
        await hosts.running[C].wait()
        await evacuate(hosts, 'm', 'z')
        log = f'http://{LOOPBACK}:{hosts.cluster.log_port}/control'
        await post(log, {'outage': 'refuse'})
        await hosts.start(C)
        report = await hosts.wait_for(C, '/v1/moves/m', has_state('running'))
        assert report['finished_ms'] is None
        await post(log, {'outage': 'none'})
        await hosts.wait_for(C, '/v1/moves/m', has_state('finished'))
