"""Usage reports of real entry hosts on loopback, through a kill and a stop."""

import json
import os
import signal
import sys
from contextlib import asynccontextmanager
from functools import partial
from itertools import pairwise

import attrs
import pytest
import trio
from test_entry_host import PROGRAM, find_ports

from standins.platformstore import PlatformStore
from standins.usageservice import UsageStandIn

pytestmark = pytest.mark.processes

CONTROL = '127.0.0.1'
NAMES = ('e1', 'e2', 'e3')
WITHIN_S = 30


@attrs.define
class Deployment:
    """Entry hosts with the store and the service that they use."""

    store: PlatformStore
    service: UsageStandIn
    processes: dict
    logs: dict

    async def wait_until(self, check):
        """Wait until a check returns true."""
        with trio.fail_after(WITHIN_S):
            while not check():  # noqa: ASYNC110
                await trio.sleep(0.05)

    async def wait_for_windows(self, count, holder=None):
        """Wait for reports; return the holder of the last one."""
        known = len(self.service.calls)

        def has_enough():
            new = self.service.calls[known:]
            return len([call for call in new if call.holder != holder]) >= count

        await self.wait_until(has_enough)
        return self.service.calls[-1].holder


def make_settings(address, name, ports, store, cloud):
    caller, ready, peers = ports
    settings = {
        'local': {'node_name': name, 'zone': 'a', 'ip': address},
        'network': {
            'listen': {
                'front': f'{address}:{caller}',
                'ready': f'{address}:{ready}',
            },
            'internal_ports': [peers, peers + 1],
            'seeds': [f'127.0.0.11:{peers}', f'127.0.0.12:{peers}'],
        },
        'platform': {
            'platform': {'address': f'{CONTROL}:{store}'},
            'cloud': {
                'address': f'{CONTROL}:{cloud}',
                'rate_per_s': 50.0,
                'duties': ['usage_reporting'],
                'duty_per_s': 50.0,
            },
        },
        'terms': {
            'bounds': {
                'grace': '2s',
                'lease_time': '500ms',
                'report_window': '1s',
                'usage_late': '4s',
            }
        },
    }
    return json.dumps(settings)


@asynccontextmanager
async def run_deployment(tmp_path):
    store, service = PlatformStore(), UsageStandIn()
    store_port, cloud_port, *ports = find_ports(5)
    deployment = Deployment(store, service, {}, {})
    async with trio.open_nursery() as nursery:
        listen = partial(trio.serve_tcp, host=CONTROL)
        await nursery.start(listen, store.serve, store_port)
        await nursery.start(listen, service.serve, cloud_port)
        for number, name in enumerate(NAMES, start=11):
            settings = tmp_path / f'{name}.json'
            settings.write_text(
                make_settings(
                    f'127.0.0.{number}', name, ports, store_port, cloud_port
                )
            )
            deployment.logs[name] = tmp_path / f'{name}.log'
            with deployment.logs[name].open('wb') as output:
                process = await trio.lowlevel.open_process(
                    [sys.executable, str(PROGRAM)],
                    env={**os.environ, 'EBONYSTREAM_SETTINGS': str(settings)},
                    stdout=output,
                )
            deployment.processes[name] = process
        try:
            yield deployment
        finally:
            for process in deployment.processes.values():
                if process.poll() is None:
                    process.kill()
                await process.wait()
            nursery.cancel_scope.cancel()


async def test_reports_go_on_after_a_kill_and_a_stop(tmp_path):
    async with run_deployment(tmp_path) as deployment:
        first = await deployment.wait_for_windows(2)
        deployment.processes[first].kill()
        second = await deployment.wait_for_windows(2, holder=first)
        deployment.processes[second].send_signal(signal.SIGTERM)
        with trio.fail_after(WITHIN_S):
            assert await deployment.processes[second].wait() == 0
        third = await deployment.wait_for_windows(2, holder=second)
    assert {first, second, third} == set(NAMES)
    calls = deployment.service.calls
    assert all(call.status == 200 and call.counts == {} for call in calls)
    windows = [call.window for call in calls]
    assert windows == sorted(windows)
    assert set(windows) == set(range(windows[0], windows[-1] + 1))
    for before, after in pairwise(calls):
        assert after.token >= before.token
        assert (after.token == before.token) is (after.holder == before.holder)
    log = deployment.logs[second].read_text().splitlines()
    events = [json.loads(line) for line in log]
    (last,) = [
        line for line in events if line['message_type'] == 'usage_last_counts'
    ]
    assert last['sent']
    assert not [
        line for line in events if line['message_type'] == 'task_failed'
    ]


async def test_a_frozen_holder_sends_nothing_with_its_old_token(tmp_path):
    async with run_deployment(tmp_path) as deployment:
        first = await deployment.wait_for_windows(2)
        deployment.processes[first].send_signal(signal.SIGSTOP)
        await deployment.wait_for_windows(2, holder=first)
        thawed_at = len(deployment.service.calls)
        deployment.processes[first].send_signal(signal.SIGCONT)
        await deployment.wait_for_windows(4)
    calls = deployment.service.calls
    token = calls[0].token
    assert all(call.token > token for call in calls[thawed_at:])
    assert all(call.status == 200 for call in calls)
    windows = [call.window for call in calls]
    assert set(windows) == set(range(windows[0], windows[-1] + 1))
