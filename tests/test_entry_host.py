"""The entry host's program against stand-ins: separate process, real sockets."""

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
from standins.platformstore import PlatformStore, StoreMood

ROOT = Path(__file__).parent.parent
PROGRAM = ROOT / 'src' / 'entryhost.py'
ADDRESS = '127.0.0.1'
READY_WITHIN = 20
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
    """Find ports that are free, two that follow each other at the end."""
    held = []
    while len(held) < count:
        one = socket.socket()
        one.bind((ADDRESS, 0))
        port = one.getsockname()[1]
        with socket.socket() as after:
            try:
                after.bind((ADDRESS, port + 1))
            except OSError:
                continue
        held.append(one)
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
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
class World:
    """An entry host and what it talks to."""

    store: PlatformStore
    servers: dict[str, PacedServer]
    ports: dict[str, int]
    process: trio.Process
    front: int
    ready: int
    metrics: int
    settings: Path
    log: Path

    def list_server(self, name, **changes):
        """Write the entry of a server."""
        entry = {
            'service': SERVICE,
            'address': f'{ADDRESS}:{self.ports[name]}',
            'zone': 'a',
            'version': 'v1',
            'slots': 2,
            'state': 'ready',
            'cold_remaining': '0ms',
            'sequence': 1,
        }
        self.store.put('keyed.servers', name, {**entry, **changes})

    def configure(self, version, **changes):
        """Write a configuration with one route."""
        routes = {'racks': {**ROUTE, **changes}}
        configuration = make_configuration(version, routes)
        self.store.put('keyed.op', 'config', configuration)

    async def call(self, name, *, method='GET', path='/racks/7', port=None):
        """Send one request; give its status and body."""
        request = (
            f'{method} {path} HTTP/1.1\r\nHost: shop.example\r\n'
            f'Ebonystream-Attempt-Id: {name}\r\n'
            'Ebonystream-Deadline-Ms: 1500\r\n'
            'Content-Length: 0\r\nConnection: close\r\n\r\n'
        )
        stream = await trio.open_tcp_stream(ADDRESS, port or self.front)
        reader = make_response_reader(
            ReaderLimits(head_bytes=9999, body_bytes=9999)
        )
        async with stream:
            await stream.send_all(request.encode())
            message = None
            while message is None:
                reader.feed(bytes(await stream.receive_some(9999)))
                message = reader.next_message()
        return message.status, message.body.decode()

    async def is_ready(self):
        """Tell whether the host says that it is ready."""
        try:
            status, _ = await self.call('r', path='/', port=self.ready)
        except OSError:
            return False
        return status == 200

    async def wait_until(self, check, within=READY_WITHIN):
        """Wait until a check holds."""
        with trio.fail_after(within):
            while not await check():  # noqa: ASYNC110
                await trio.sleep(0.05)

    def read_log(self):
        """Read the lines of the host's log."""
        lines = self.log.read_text().splitlines()
        return [json.loads(line) for line in lines]


@asynccontextmanager
async def run_world(tmp_path, names=('i-1', 'i-2')):
    """Run an entry host with servers, all on loopback."""
    store = PlatformStore()
    servers = {name: PacedServer(name=name) for name in names}
    store_port, front, ready, metrics, peers, *rest = find_ports(5 + len(names))
    ports = dict(zip(names, rest, strict=True))
    settings = tmp_path / 'local.json'
    settings.write_text(make_settings(store_port, front, ready, peers))
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
        world = World(
            store, servers, ports, process, front, ready, metrics, settings, log
        )
        try:
            yield world
        finally:
            if process.poll() is None:
                process.kill()
            await process.wait()
            nursery.cancel_scope.cancel()


def make_settings(store, front, ready, peers):
    """Spell the settings of one host."""
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
            'terms': {'bounds': {'grace': '6s', 'retry_budget_slack': 99}},
        }
    )


async def begin(world):
    """Configure the world and wait until its host is ready."""
    world.configure(1)
    for name in world.servers:
        world.list_server(name)
    await world.wait_until(world.is_ready)


async def test_a_calm_path(tmp_path):
    """From the first entry to an answer, a change, and a graceful stop."""
    async with run_world(tmp_path) as world:
        assert not await world.is_ready()
        await begin(world)
        answers = [await world.call(f'a{number}') for number in range(8)]
        assert [status for status, _ in answers] == [200] * 8
        ran = sum(
            (one.ran for one in world.servers.values()),
            start=type(world.servers['i-1'].ran)(),
        )
        assert set(ran.values()) == {1}
        assert (await world.call('b', path='/else/'))[0] == 404

        world.configure(2, path_prefix='/else/')

        async def is_moved():
            return (await world.call('c', path='/else/'))[0] == 200

        await world.wait_until(is_moved, within=2)
        assert (await world.call('d'))[0] == 404

        world.process.send_signal(signal.SIGTERM)
        await trio.sleep(0.3)
        assert not await world.is_ready()
        assert (await world.call('e', path='/else/'))[0] == 200
        with trio.fail_after(6):
            assert await world.process.wait() == 0
        events = [line['message_type'] for line in world.read_log()]
        assert events[0] == 'started'
        assert events[-1] == 'stopped'


COUNTED = {
    'answers': 'ebonystream_answers_total'
    '{kind="idempotent",rank="1",status="200"} 3',
    'no route': 'ebonystream_answers_total'
    '{kind="none",rank="none",status="404"} 1',
    'refusals': 'ebonystream_refusals_total{kind="unknown_route"} 1',
    'attempts': 'ebonystream_attempts_total'
    '{end="served 200",service="records"} 3',
    'latencies': 'ebonystream_answer_seconds_count'
    '{kind="idempotent",rank="1"} 3',
    'work': 'ebonystream_attempt_seconds_count{service="records"} 3',
    'store': 'ebonystream_store_calls_total{call="',
    'questions': 'ebonystream_questions_total{end="answered"}',
    'ready': 'ebonystream_ready 1',
    'configuration': 'ebonystream_configuration_version 1',
}


async def test_metrics(tmp_path):
    """What was served is told on the metrics address."""
    async with run_world(tmp_path) as world:
        await begin(world)
        for number in range(3):
            await world.call(f'a{number}')
        await world.call('b', path='/else/')
        status, page = await world.call('m', path='/', port=world.metrics)
    assert status == 200
    assert [name for name, line in COUNTED.items() if line not in page] == []


@pytest.mark.parametrize('change', ['leaving', 'gone', 'zone'])
async def test_a_server_gets_nothing_more(tmp_path, change):
    """Within the bound of two seconds, whatever takes the server out."""
    async with run_world(tmp_path) as world:
        await begin(world)
        world.list_server('i-2', zone='b')
        if change == 'leaving':
            world.list_server('i-1', state='draining')
        elif change == 'gone':
            world.store.put('keyed.servers', 'i-1', None)
        else:
            world.store.put('keyed.op', 'evacuate/a', {})
        await trio.sleep(2)
        before = sum(world.servers['i-1'].ran.values())
        for number in range(6):
            assert await world.call(f'x{number}') == (200, 'i-2')
        assert sum(world.servers['i-1'].ran.values()) == before


@pytest.mark.parametrize('mood', [StoreMood.BUSY, StoreMood.SILENT])
async def test_an_outage_of_the_store(tmp_path, mood):
    """Requests go on; what changed meanwhile is in force soon after."""
    async with run_world(tmp_path) as world:
        await begin(world)
        world.store.mood = mood
        await trio.sleep(2.5)
        assert (await world.call('a'))[0] == 200
        world.configure(2, path_prefix='/else/')
        world.store.mood = StoreMood.WELL

        async def is_moved():
            return (await world.call('c', path='/else/'))[0] == 200

        await world.wait_until(is_moved, within=4)
        losses = [
            line
            for line in world.read_log()
            if line['message_type'] == 'dependency_lost'
        ]
        assert 1 <= len(losses) <= 2


@pytest.mark.parametrize(
    ('kind', 'failing', 'ran'),
    [
        ('idempotent', True, 2),
        ('non_idempotent', True, 1),
        ('non_idempotent', False, 1),
    ],
)
async def test_failures(tmp_path, kind, failing, ran):
    """What must run once runs once, whatever becomes of its answer."""
    async with run_world(tmp_path) as world:
        await begin(world)
        world.configure(2, kind=kind)
        for server in world.servers.values():
            server.failing = failing
        await trio.sleep(1)
        status, _ = await world.call('once', method='POST')
        assert status == (500 if failing else 200)
        runs = [server.ran['once'] for server in world.servers.values()]
        assert sum(runs) == ran


@pytest.mark.parametrize(
    ('content', 'event'),
    [('{', 'settings_refused'), (None, 'settings_taken')],
)
async def test_settings_that_change(tmp_path, content, event):
    """A faulty file is refused with a line, and the host goes on."""
    async with run_world(tmp_path) as world:
        await begin(world)
        whole = json.loads(world.settings.read_text())
        whole['terms']['bounds']['grace'] = '5s'
        world.settings.write_text(content or json.dumps(whole))
        world.process.send_signal(signal.SIGHUP)

        async def is_told():
            await trio.lowlevel.checkpoint()
            events = [line['message_type'] for line in world.read_log()]
            return event in events

        await world.wait_until(is_told, within=4)
        assert (await world.call('a'))[0] == 200
