"""Clients that are not under control: a process lives, within its memory."""

import pytest
import trio
from test_entry_host import LIMITS, ROUTE, SERVICE, make_configuration
from test_peer_processes import A, open_processes
from untrusted_crowds import Usage, make_crowds, send_crowd, send_one

from faultsoak.deployment import Deployment, run_deployment
from standins.cluster import LOOPBACK
from standins.demoplan import SERVICES
from standins.pacedserver import PacedServer

MIB = 1_048_576
MEMORY_MB = 200
MAX_BODY_BYTES = 8 * MIB
MAX_FDS, FILE_FDS = 300, 200
MACHINE = {'memory_mb': MEMORY_MB, 'max_fds': MAX_FDS}
CALL_LIMITS = {
    **LIMITS,
    'max_body_bytes': MAX_BODY_BYTES,
    'header_timeout': '8000ms',
}
UPLOADS = {**ROUTE, 'path_prefix': '/uploads/', 'kind': 'upload'}
CROWDS = make_crowds(MAX_BODY_BYTES)
FRONT_END_CROWDS = make_crowds(MIB, connections=160)
FRONT_END_MEMORY_MB = 200
LARGEST_BODY_BYTES = 64 * MIB
HELD_S = 1
OK = 200


def make_deployment(folder, limits):
    """Make one host and one server."""
    deployment = Deployment(folder=folder, limits=MACHINE)
    deployment.add_host('a')
    deployment.add_server(PacedServer(name='i-1'))
    deployment.register(SERVICE, 'a')
    configuration = make_configuration(1, {'racks': ROUTE, 'uploads': UPLOADS})
    for resource in configuration['resources']:
        if resource['resource_kind'] == 'limits':
            resource['spec'] = limits
    deployment.store.put('keyed.op', 'config', configuration)
    return deployment


@pytest.mark.processes
@pytest.mark.parametrize('kind', CROWDS)
async def test_a_crowd_at_an_entry_host(tmp_path, kind):
    # Guards against a host that holds all that a crowd sends and is killed for
    # its memory, or that has no descriptor left for ordinary callers.
    deployment = make_deployment(tmp_path, CALL_LIMITS)
    host = deployment.hosts[0]
    async with run_deployment(deployment), trio.open_nursery() as nursery:
        await deployment.wait_ready()
        usage = Usage(host.process.pid)
        nursery.start_soon(usage.watch)
        port = deployment.ports.callers
        await send_crowd(
            nursery, CROWDS[kind], host.address, port, '/uploads/1'
        )
        await trio.sleep(HELD_S)
        answer = await deployment.request(host, 'ordinary', '/racks/1', 5000)
        assert host.process.poll() is None
        usage.sample()
        nursery.cancel_scope.cancel()
    print(kind, usage.describe())
    assert usage.memory_mb < MEMORY_MB
    assert usage.descriptors <= MAX_FDS - FILE_FDS
    assert answer == OK


@pytest.mark.processes
@pytest.mark.parametrize('kind', ['whole', 'large chunks'])
async def test_one_large_request(tmp_path, kind):
    # Guards against copies of a body, and against a bound below one request.
    limits = {**CALL_LIMITS, 'max_body_bytes': LARGEST_BODY_BYTES}
    deployment = make_deployment(tmp_path, limits)
    host = deployment.hosts[0]
    async with run_deployment(deployment):
        await deployment.wait_ready()
        usage = Usage(host.process.pid)
        statuses = [
            await send_one(host.address, deployment.ports.callers, kind)
            for _ in range(3)
        ]
        usage.sample()
    print(kind, usage.describe())
    assert statuses == [b'200'] * 3
    assert usage.memory_mb < MEMORY_MB


async def request_status(port):
    """Send one request to the product's own front end; return its status."""
    async with await trio.open_tcp_stream(LOOPBACK, port) as stream:
        await stream.send_all(b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n')
        with trio.move_on_after(5):
            return (await stream.receive_some()).partition(b' ')[0]


@pytest.mark.processes
@pytest.mark.parametrize('kind', ['whole', 'small chunks'])
async def test_a_crowd_at_the_own_front_end(tmp_path, kind):
    # Guards against a front end that holds all that a crowd sends.
    async with open_processes(tmp_path, SERVICES) as hosts:
        process = hosts.running[A]
        port = hosts.cluster.entry_hosts[0].caller_port
        usage = Usage(process.pid)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(usage.watch)
            await send_crowd(
                nursery, FRONT_END_CROWDS[kind], LOOPBACK, port, '/x'
            )
            await trio.sleep(HELD_S)
            answer = await request_status(port)
            assert process.poll() is None
            usage.sample()
            nursery.cancel_scope.cancel()
    print(kind, usage.describe())
    assert usage.memory_mb < FRONT_END_MEMORY_MB
    assert answer == b'HTTP/1.1'


@pytest.mark.processes
@pytest.mark.parametrize('kind', ['whole', 'announced over the limit'])
async def test_a_crowd_at_the_administration_api(tmp_path, kind):
    # Guards against a host that holds the bodies of as many operators' requests
    # as are open.
    async with open_processes(tmp_path, SERVICES) as hosts:
        process = hosts.running[A]
        port = hosts.cluster.entry_hosts[0].admin_port
        usage = Usage(process.pid)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(usage.watch)
            await send_crowd(nursery, CROWDS[kind], LOOPBACK, port, '/v1/lists')
            await trio.sleep(HELD_S)
            status = await hosts.fetch(A, '/v1/status')
            assert process.poll() is None
            usage.sample()
            nursery.cancel_scope.cancel()
    print(kind, usage.describe())
    assert usage.memory_mb < FRONT_END_MEMORY_MB
    assert 'configuration_version' in status or 'error' not in status
