"""Membership of entry hosts that run as processes, with signals and outages."""

import signal
import subprocess
import sys
from contextlib import asynccontextmanager

import httpx
import msgspec
import pytest
import trio

from ebonystream.settings import BackendSettings
from standins.cluster import LOOPBACK, make_cluster
from standins.demoplan import make_lists
from standins.operation import publish
from standins.processes import start_program
from standins.startup import (
    _prepare_backends,
    _prepare_entry_hosts,
    _prepare_platform,
)

ZONES = ('zone-a', 'zone-b', 'zone-c')
A, B, C = (f'entry-{zone}' for zone in ZONES)
MAX_POLLS = 600
POLL_S = 0.05

pytestmark = pytest.mark.processes


class Hosts:
    """Three entry hosts that run as processes.

    Attributes:
        cluster: The cluster that the entry hosts belong to.
        programs: The program of each entry host by name.
        admin_urls: The URL of the administration API by name.
        running: The process of each started entry host by name.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        programs = _prepare_entry_hosts(cluster)
        self.programs = {program.name: program for program in programs}
        self.admin_urls = {
            host.name: host.admin_url for host in cluster.entry_hosts
        }
        self.running = {}

    async def start(self, name):
        """Start a host without waiting until it accepts connections."""
        program = self.programs[name]
        log = self.cluster.directory / f'{name}.log'
        self.running[name] = await trio.lowlevel.open_process(
            [sys.executable, '-m', program.module, *program.arguments],
            stdout=log.open('ab'),
            stderr=subprocess.STDOUT,
        )

    def stop(self):
        """Kill every running host, including suspended processes."""
        for process in self.running.values():
            if process.returncode is None:
                process.kill()

    async def fetch(self, name, path):
        """Return a response of the administration API, or None on failure."""
        try:
            async with httpx.AsyncClient() as client:
                response = await client.get(f'{self.admin_urls[name]}{path}')
        except httpx.TransportError:
            return None
        return response.json()

    async def read_metrics(self, name):
        """Return the metrics of a host, without empty label sets."""
        async with httpx.AsyncClient() as client:
            response = await client.get(f'{self.admin_urls[name]}/metrics')
        return response.text.replace('{}', '')

    async def wait_for(self, name, path, is_reached):
        """Poll until a response satisfies a predicate, at most MAX_POLLS times."""
        response = None
        for _ in range(MAX_POLLS):
            response = await self.fetch(name, path)
            if response is not None and is_reached(response):
                return response
            await trio.sleep(POLL_S)
        raise AssertionError(f'last response of {name}: {response}')

    async def wait_for_states(self, viewer, **states):
        """Poll until a host reports these states; return the incarnations."""
        expected = {
            f'entry-zone-{zone}': state for zone, state in states.items()
        }

        def is_reached(response):
            reported = {
                host['host']: host['state'] for host in response['hosts']
            }
            return all(
                reported.get(name) == expected[name] for name in expected
            )

        response = await self.wait_for(viewer, '/v1/hosts', is_reached)
        return {host['host']: host['incarnation'] for host in response['hosts']}


@asynccontextmanager
async def open_processes(directory, services=()):
    cluster = make_cluster(
        directory,
        zones=ZONES,
        services=services,
        backend_settings=BackendSettings(),
    )
    async with trio.open_nursery() as nursery:
        for program in (
            *_prepare_platform(cluster),
            *_prepare_backends(cluster),
        ):
            await start_program(nursery, program, directory)
        hosts = Hosts(cluster)
        try:
            for name in (A, B, C):
                await hosts.start(name)
            for name in (A, B, C):
                states = {
                    'a': 'reachable',
                    'b': 'reachable',
                    'c': 'reachable',
                }
                await hosts.wait_for_states(name, **states)
            yield hosts
        finally:
            hosts.stop()
        nursery.cancel_scope.cancel()


async def test_signals_change_the_reported_state(tmp_path):
    """A host is suspended and resumed, killed and restarted, and terminated.

    A resumed host keeps its incarnation; a restarted host gets a new one. A
    terminated host disappears from the list and exits with code 0.
    """
    async with open_processes(tmp_path) as hosts:
        initial = await hosts.wait_for_states(A, b='reachable')
        assert 'ebonystream_hosts_fit 3' in await hosts.read_metrics(A)
        hosts.running[B].send_signal(signal.SIGSTOP)
        await hosts.wait_for_states(A, b='unreachable', c='reachable')
        hosts.running[B].send_signal(signal.SIGCONT)
        resumed = await hosts.wait_for_states(A, b='reachable')
        assert resumed == initial
        hosts.running[B].kill()
        await hosts.wait_for_states(A, b='unreachable', c='reachable')
        await hosts.start(B)
        restarted = await hosts.wait_for_states(A, b='reachable')
        assert restarted[B] != initial[B]
        assert restarted[C] == initial[C]
        hosts.running[B].terminate()
        await hosts.wait_for(
            A, '/v1/hosts', lambda response: B not in str(response['hosts'])
        )
        assert await hosts.running[B].wait() == 0


async def test_start_during_a_log_outage(tmp_path):
    """A host started without the log gets the configuration from a peer."""
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
