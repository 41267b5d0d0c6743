"""Entry hosts in processes track each other through signals and outages."""

import signal
import subprocess
import sys
from contextlib import asynccontextmanager

import httpx
import msgspec
import pytest
import trio

from ebonystream.settings import BackendSettings
from standins.cluster import LOOPBACK, lay_out
from standins.demoplan import make_lists
from standins.operation import publish
from standins.processes import start_program
from standins.startup import (
    _spell_backends,
    _spell_entries,
    _spell_platform,
)

ZONES = ('zone-a', 'zone-b', 'zone-c')
A, B, C = (f'entry-{zone}' for zone in ZONES)
MAX_POLLS = 600
POLL_S = 0.05

pytestmark = pytest.mark.processes


class Hosts:
    """Three entry hosts in processes.

    Attributes:
        cluster: Addresses of the hosts.
        programs: Command line of each host.
        running: Running process of each host.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        programs = _spell_entries(cluster)
        self.programs = {program.name: program for program in programs}
        self.admins = {entry.name: entry.admin for entry in cluster.entries}
        self.running = {}

    async def start(self, name):
        """Start a host without waiting until it is ready."""
        program = self.programs[name]
        log = self.cluster.directory / f'{name}.log'
        self.running[name] = await trio.lowlevel.open_process(
            [sys.executable, '-m', program.module, *program.arguments],
            stdout=log.open('ab'),
            stderr=subprocess.STDOUT,
        )

    def stop(self):
        """Kill all running hosts, including suspended ones."""
        for process in self.running.values():
            if process.returncode is None:
                process.kill()

    async def query(self, name, path):
        """Query the administration API of a host; None if it is unavailable."""
        try:
            async with httpx.AsyncClient() as client:
                response = await client.get(f'{self.admins[name]}{path}')
        except httpx.TransportError:
            return None
        return response.json()

    async def read_metrics(self, name):
        """Read the metrics of a host, without the labels."""
        async with httpx.AsyncClient() as client:
            response = await client.get(f'{self.admins[name]}/metrics')
        return response.text.replace('{}', '')

    async def wait_for(self, name, path, is_reached):
        """Poll until a condition holds; the number of polls is bounded."""
        body = None
        for _ in range(MAX_POLLS):
            body = await self.query(name, path)
            if body is not None and is_reached(body):
                return body
            await trio.sleep(POLL_S)
        raise AssertionError(f'last response of {name}: {body}')

    async def wait_for_states(self, viewer, **states):
        """Poll until a host sees the other hosts in the given states."""
        expected = {
            f'entry-zone-{zone}': state for zone, state in states.items()
        }

        def is_reached(body):
            seen = {host['host']: host['state'] for host in body['hosts']}
            return all(seen.get(host) == expected[host] for host in expected)

        body = await self.wait_for(viewer, '/v1/hosts', is_reached)
        return {host['host']: host['incarnation'] for host in body['hosts']}


@asynccontextmanager
async def open_processes(directory, services=()):
    cluster = lay_out(
        directory, zones=ZONES, services=services, limits=BackendSettings()
    )
    async with trio.open_nursery() as nursery:
        for program in (*_spell_platform(cluster), *_spell_backends(cluster)):
            await start_program(nursery, program, directory)
        hosts = Hosts(cluster)
        try:
            for name in (A, B, C):
                await hosts.start(name)
            for name in (A, B, C):
                all_reachable = {
                    'a': 'reachable',
                    'b': 'reachable',
                    'c': 'reachable',
                }
                await hosts.wait_for_states(name, **all_reachable)
            yield hosts
        finally:
            hosts.stop()
        nursery.cancel_scope.cancel()


async def test_signals(tmp_path):
    """A host is suspended, killed and restarted, and then terminated."""
    async with open_processes(tmp_path) as hosts:
        first = await hosts.wait_for_states(A, b='reachable')
        assert 'ebonystream_hosts_fit 3' in await hosts.read_metrics(A)
        hosts.running[B].send_signal(signal.SIGSTOP)
        await hosts.wait_for_states(A, b='unreachable', c='reachable')
        hosts.running[B].send_signal(signal.SIGCONT)
        second = await hosts.wait_for_states(A, b='reachable')
        assert second == first
        hosts.running[B].kill()
        await hosts.wait_for_states(A, b='unreachable', c='reachable')
        await hosts.start(B)
        third = await hosts.wait_for_states(A, b='reachable')
        assert third[B] != first[B]
        assert third[C] == first[C]
        hosts.running[B].terminate()
        await hosts.wait_for(
            A, '/v1/hosts', lambda body: B not in str(body['hosts'])
        )
        assert await hosts.running[B].wait() == 0


async def test_start_while_the_log_is_down(tmp_path):
    """A host that starts meanwhile gets the configuration from a peer."""
    async with open_processes(tmp_path) as hosts:
        await publish(hosts.cluster, make_lists())
        await hosts.wait_for(B, '/v1/status', is_configured)
        hosts.running[C].kill()
        url = f'http://{LOOPBACK}:{hosts.cluster.log_port}/control'
        async with httpx.AsyncClient() as client:
            conduct = msgspec.json.encode({'outage': 'refuse'})
            await client.post(url, content=conduct)
        await hosts.start(C)
        await hosts.wait_for(C, '/v1/status', is_configured)


def is_configured(status):
    return status['configuration_version'] == 1 and status['caught_up']
