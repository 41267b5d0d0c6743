"""The entry host's program: its own process and real sockets.

The store and the backend servers are stand-ins in the test's process.
"""

import json
import os
import signal
import socket
import sys
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path

import attrs
import pytest
import trio

from ebonystream.http1 import ReaderLimits, make_response_reader
from standins.pacedserver import PacedServer
from standins.platformstore import PlatformStore, StoreMode

ROOT = Path(__file__).parent.parent
PROGRAM = ROOT / 'src' / 'entryhost.py'
ADDRESS = '127.0.0.1'
READY_TIMEOUT_S = 20
SERVICE, OTHER_SERVICE = 'records', 'desk'
ROUTE = {
    'host': 'shop.example',
    'path_prefix': '/racks/',
    'kind': 'idempotent',
    'timeout': '1500ms',
    'target_latency': '600ms',
    'priority': 1,
    'service': SERVICE,
    'max_attempts': 2,
}
LIMITS = {
    'max_header_bytes': 16_384,
    'max_body_bytes': 1_048_576,
    'header_timeout': '3000ms',
    'idle_timeout': '15000ms',
}

pytestmark = pytest.mark.processes


def find_ports(count):
    """Find free ports, each followed by another free port."""
    bound_sockets = []
    while len(bound_sockets) < count:
        candidate = socket.socket()
        candidate.bind((ADDRESS, 0))
        port = candidate.getsockname()[1]
        with socket.socket() as next_socket:
            try:
                next_socket.bind((ADDRESS, port + 1))
            except OSError:
                continue
        bound_sockets.append(candidate)
    ports = [bound.getsockname()[1] for bound in bound_sockets]
    for bound in bound_sockets:
        bound.close()
    return ports


def make_configuration(version, routes):
    resources = [
        {'resource_kind': 'routes', 'metadata': {'name': name}, 'spec': spec}
        for name, spec in routes.items()
    ]
    service = {
        'health_path': '/health',
        'max_conns': 99,
        'cold_start': '0ms',
        'cold_per_s': 3,
    }
    for name in (SERVICE, OTHER_SERVICE):
        resources.append(
            {
                'resource_kind': 'services',
                'metadata': {'name': name},
                'spec': service,
            }
        )
    resources.append(
        {'resource_kind': 'limits', 'metadata': {}, 'spec': LIMITS}
    )
    return {'version': version, 'resources': resources}


@attrs.define
class Deployment:
    """An entry host with its store, backend servers and settings."""

    store: PlatformStore
    servers: dict[str, PacedServer]
    server_ports: dict[str, int]
    process: trio.Process
    caller_port: int
    readiness_port: int
    metrics_port: int
    settings: Path
    log: Path

    def list_server(self, name, **changes):
        """Write the entry of a server to the store."""
        entry = {
            'service': SERVICE,
            'address': f'{ADDRESS}:{self.server_ports[name]}',
            'zone': 'a',
            'version': 'v1',
            'slots': 2,
            'state': 'ready',
            'cold_remaining': '0ms',
            'sequence': 1,
        }
        self.store.put('keyed.servers', name, {**entry, **changes})

    def configure(self, version, **changes):
        """Write a configuration with one route to the store."""
        routes = {'racks': {**ROUTE, **changes}}
        configuration = make_configuration(version, routes)
        self.store.put('keyed.op', 'config', configuration)

    async def call(self, name, **request):
        """Send one request; return the status and body of the response."""
        message = await self.exchange(name, **request)
        return message.status, message.body.decode()

    async def exchange(
        self, name, *, method='GET', path='/racks/7', port=None, lines=''
    ):
        """Send one request with more header lines; return the response."""
        request = (
            f'{method} {path} HTTP/1.1\r\nHost: shop.example\r\n'
            f'Ebonystream-Attempt-Id: {name}\r\n'
            'Ebonystream-Deadline-Ms: 1500\r\n'
            f'Content-Length: 0\r\n{lines}Connection: close\r\n\r\n'
        )
        stream = await trio.open_tcp_stream(ADDRESS, port or self.caller_port)
        reader = make_response_reader(
            ReaderLimits(head_bytes=9999, body_bytes=9999)
        )
        async with stream:
            await stream.send_all(request.encode())
            message = None
            while message is None:
                received = await stream.receive_some(9999)
                assert received, 'the connection ended without a response'
                reader.feed(bytes(received))
                message = reader.next_message()
        return message

    async def is_ready(self):
        """Return whether the host reports that it is ready."""
        try:
            status, _ = await self.call('r', path='/', port=self.readiness_port)
        except OSError:
            return False
        return status == 200

    async def wait_until(self, check, within=READY_TIMEOUT_S):
        """Wait until a check returns true."""
        with trio.fail_after(within):
            while not await check():  # noqa: ASYNC110
                await trio.sleep(0.05)

    def read_log(self):
        """Return the lines of the host's log."""
        lines = self.log.read_text().splitlines()
        return [json.loads(line) for line in lines]


@asynccontextmanager
async def run_deployment(tmp_path, names=('i-1', 'i-2'), **bounds):
    """Run an entry host with its store and servers, all on loopback."""
    store = PlatformStore()
    servers = {name: PacedServer(name=name) for name in names}
    store_port, front, ready, metrics, peers, *rest = find_ports(5 + len(names))
    ports = dict(zip(names, rest, strict=True))
    settings = tmp_path / 'local.json'
    settings.write_text(
        make_settings(store_port, front, ready, peers, **bounds)
    )
    log = tmp_path / 'log'
    async with trio.open_nursery() as nursery:
        listen = partial(trio.serve_tcp, host=ADDRESS)
        await nursery.start(listen, store.serve, store_port)
        for name, server in servers.items():
            await nursery.start(listen, server.serve, ports[name])
        with log.open('wb') as output:
            process = await trio.lowlevel.open_process(
                [sys.executable, str(PROGRAM)],
                env={
                    **os.environ,
                    'EBONYSTREAM_SETTINGS': str(settings),
                    'EBONYSTREAM_METRICS_PORT': str(metrics),
                },
                stdout=output,
            )
        deployment = Deployment(
            store, servers, ports, process, front, ready, metrics, settings, log
        )
        try:
            yield deployment
        finally:
            if process.poll() is None:
                process.kill()
            await process.wait()
            nursery.cancel_scope.cancel()


def make_settings(store, front, ready, peers, **bounds):
    """Return the settings file of one host."""
    return json.dumps(
        {
            'local': {'node_name': 'e1', 'zone': 'a', 'ip': ADDRESS},
            'network': {
                'listen': {
                    'front': f'{ADDRESS}:{front}',
                    'ready': f'{ADDRESS}:{ready}',
                },
                'internal_ports': [peers, peers + 1],
                'seeds': [],
            },
            'platform': {
                'heartbeat': '1500ms',
                'platform': {'address': f'{ADDRESS}:{store}'},
            },
            'terms': {
                'bounds': {'grace': '6s', 'retry_budget_slack': 99, **bounds}
            },
        }
    )


async def configure_and_wait(deployment):
    """Write the configuration and wait until the host is ready."""
    deployment.configure(1)
    for name in deployment.servers:
        deployment.list_server(name)
    await deployment.wait_until(deployment.is_ready)


async def test_serving_reconfiguration_and_shutdown(tmp_path):
    """From the first configuration over a new one to a graceful shutdown."""
    async with run_deployment(tmp_path) as deployment:
        assert not await deployment.is_ready()
        await configure_and_wait(deployment)
        responses = [await deployment.call(f'a{number}') for number in range(8)]
        assert [status for status, _ in responses] == [200] * 8
        ran = sum(
            (server.run_counts for server in deployment.servers.values()),
            start=type(deployment.servers['i-1'].run_counts)(),
        )
        assert set(ran.values()) == {1}
        assert (await deployment.call('b', path='/else/'))[0] == 404

        deployment.configure(2, path_prefix='/else/')

        async def is_moved():
            return (await deployment.call('c', path='/else/'))[0] == 200

        await deployment.wait_until(is_moved, within=2)
        assert (await deployment.call('d'))[0] == 404

        deployment.process.send_signal(signal.SIGTERM)
        await trio.sleep(0.3)
        assert not await deployment.is_ready()
        assert (await deployment.call('e', path='/else/'))[0] == 200
        with trio.fail_after(6):
            assert await deployment.process.wait() == 0
        events = [line['message_type'] for line in deployment.read_log()]
        assert events[0] == 'started'
        assert events[-1] == 'stopped'


METRICS_LINES = {
    'responses': 'ebonystream_answers_total'
    '{kind="idempotent",rank="1",status="200"} 3',
    'no route': 'ebonystream_answers_total'
    '{kind="none",rank="none",status="404"} 1',
    'error responses': 'ebonystream_refusals_total{kind="unknown_route"} 1',
    'attempts': 'ebonystream_attempts_total'
    '{end="served 200",service="records"} 3',
    'latencies': 'ebonystream_answer_seconds_count'
    '{kind="idempotent",rank="1"} 3',
    'attempt latencies': 'ebonystream_attempt_seconds_count'
    '{service="records"} 3',
    'store': 'ebonystream_store_calls_total{call="',
    'probes': 'ebonystream_questions_total{end="answered"}',
    'ready': 'ebonystream_ready 1',
    'configuration': 'ebonystream_configuration_version 1',
    'end of the orders': 'ebonystream_orders_end 1',
}


async def test_metrics(tmp_path):
    """The metrics page shows what was served."""
    async with run_deployment(tmp_path) as deployment:
        await configure_and_wait(deployment)
        for number in range(3):
            await deployment.call(f'a{number}')
        await deployment.call('b', path='/else/')
        status, page = await deployment.call(
            'm', path='/', port=deployment.metrics_port
        )
    assert status == 200
    assert [
        name for name, line in METRICS_LINES.items() if line not in page
    ] == []


@pytest.mark.parametrize('change', ['leaving', 'gone', 'zone'])
async def test_a_removed_server_gets_no_requests(tmp_path, change):
    """No request reaches it from two seconds after the change."""
    async with run_deployment(tmp_path) as deployment:
        await configure_and_wait(deployment)
        deployment.list_server('i-2', zone='b')
        if change == 'leaving':
            deployment.list_server('i-1', state='draining')
        elif change == 'gone':
            deployment.store.put('keyed.servers', 'i-1', None)
        else:
            deployment.store.put('keyed.op', 'evacuate/a', {})
        await trio.sleep(2)
        before = sum(deployment.servers['i-1'].run_counts.values())
        for number in range(6):
            assert await deployment.call(f'x{number}') == (200, 'i-2')
        assert sum(deployment.servers['i-1'].run_counts.values()) == before


@pytest.mark.parametrize(
    'mode', [StoreMode.UNAVAILABLE, StoreMode.UNRESPONSIVE]
)
async def test_store_outage(tmp_path, mode):
    """Requests are served; changes made meanwhile are applied afterwards."""
    async with run_deployment(tmp_path) as deployment:
        await configure_and_wait(deployment)
        deployment.store.mode = mode
        await trio.sleep(4)
        assert (await deployment.call('a'))[0] == 200
        deployment.configure(2, path_prefix='/else/')
        deployment.store.mode = StoreMode.AVAILABLE

        async def is_moved():
            return (await deployment.call('c', path='/else/'))[0] == 200

        await deployment.wait_until(is_moved, within=4)
        events = [line['message_type'] for line in deployment.read_log()]
        assert 1 <= events.count('dependency_lost') <= 2
        assert 'orders_unproven' in events


@pytest.mark.parametrize(
    ('kind', 'failing', 'ran'),
    [
        ('idempotent', True, 2),
        ('non_idempotent', True, 1),
        ('non_idempotent', False, 1),
    ],
)
async def test_retries_after_failures(tmp_path, kind, failing, ran):
    """A request that may run at most once is not retried after a failure."""
    async with run_deployment(tmp_path) as deployment:
        await configure_and_wait(deployment)
        deployment.configure(2, kind=kind)
        for server in deployment.servers.values():
            server.failing = failing
        await trio.sleep(1)
        status, _ = await deployment.call('once', method='POST')
        assert status == (500 if failing else 200)
        runs = [
            server.run_counts['once'] for server in deployment.servers.values()
        ]
        assert sum(runs) == ran


@pytest.mark.parametrize(
    ('content', 'event'),
    [('{', 'settings_refused'), (None, 'settings_taken')],
)
async def test_settings_reload(tmp_path, content, event):
    """An invalid file is rejected and logged; the host keeps serving."""
    async with run_deployment(tmp_path) as deployment:
        await configure_and_wait(deployment)
        changed = json.loads(deployment.settings.read_text())
        changed['terms']['bounds']['grace'] = '5s'
        deployment.settings.write_text(content or json.dumps(changed))
        deployment.process.send_signal(signal.SIGHUP)

        async def is_logged():
            await trio.lowlevel.checkpoint()
            events = [line['message_type'] for line in deployment.read_log()]
            return event in events

        await deployment.wait_until(is_logged, within=4)
        assert (await deployment.call('a'))[0] == 200
