"""Keys of workspaces at an entry host: its own process and real sockets."""

import json
import signal
import time
from http import HTTPStatus

import pytest
import trio
from test_entry_host import ROUTE, make_configuration, run_deployment

from standins.platformstore import StoreMode

KEY, OTHER_KEY = 'yx5x42q492cqf75rjvz4', '8wuakn2ftimaj3nr26tt'
BY_KEY = f'Authorization: Token {KEY}\r\n'
BY_OTHER_KEY = f'Authorization: Token {OTHER_KEY}\r\n'
OPEN_PATH = '/open/'
REVOKE_S = 2
IDENTITY = (b'authorization', b'ebonystream-tenant')

pytestmark = pytest.mark.processes


def configure(deployment, version, **keys):
    """Write a configuration with an exempt route and some workspaces."""
    document = make_configuration(
        version,
        {
            'racks': ROUTE,
            'open': {**ROUTE, 'path_prefix': OPEN_PATH, 'auth_exempt': True},
        },
    )
    document['resources'] += [
        {
            'resource_kind': 'tenants',
            'metadata': {'name': name},
            'spec': {'api_keys': own},
        }
        for name, own in keys.items()
    ]
    deployment.store.put('keyed.op', 'config', document)


async def start(deployment, **keys):
    configure(deployment, 1, **keys)
    for name in deployment.servers:
        deployment.list_server(name)
    await deployment.wait_until(deployment.is_ready)


def list_identity(deployment, attempt):
    """Return what a backend server was told about the caller of a request."""
    (headers,) = (
        server.received[attempt]
        for server in deployment.servers.values()
        if attempt in server.received
    )
    return [(name, value) for name, value in headers if name in IDENTITY]


async def test_keys(tmp_path):
    """A key is checked, replaced by its workspace, withdrawn and kept quiet."""
    async with run_deployment(tmp_path) as deployment:
        await start(deployment, kaje80=[KEY], other=[])
        claims = f'{BY_KEY}Ebonystream-Tenant: other\r\n'
        assert (await deployment.call('a', lines=claims))[0] == 200
        assert list_identity(deployment, 'a') == [(IDENTITY[1], b'kaje80')]

        refused = await deployment.exchange('b', lines=BY_OTHER_KEY)
        assert refused.status == HTTPStatus.UNAUTHORIZED
        assert dict(refused.headers)[b'www-authenticate'] == b'Token'
        assert json.loads(refused.body)['error'] == 'unauthorized'
        # Whether a path exists is told to those with a key only.
        assert (await deployment.call('b', path='/else/'))[0] == 401
        assert (await deployment.call('b', path='/else/', lines=BY_KEY))[
            0
        ] == 404

        exempt = await deployment.call('c', path=OPEN_PATH, lines=claims)
        assert exempt[0] == 200
        assert list_identity(deployment, 'c') == []

        # A key of two workspaces: the configuration in force stays.
        configure(deployment, 2, kaje80=[KEY, OTHER_KEY], other=[OTHER_KEY])
        await trio.sleep(1)
        assert (await deployment.call('d', lines=BY_KEY))[0] == 200
        assert (await deployment.call('d', lines=BY_OTHER_KEY))[0] == 401

        configure(deployment, 3, kaje80=[OTHER_KEY])

        async def is_renewed():
            return (await deployment.call('e', lines=BY_OTHER_KEY))[0] == 200

        await deployment.wait_until(is_renewed, within=2.5)
        assert (await deployment.call('f', lines=BY_KEY))[0] == 401

        page = await deployment.call('m', port=deployment.metrics_port)
        text = deployment.log.read_text() + page[1]
    events = {line['message_type'] for line in deployment.read_log()}
    assert {'admission', 'record_unreadable'} <= events
    assert KEY not in text
    assert OTHER_KEY not in text


async def test_without_workspaces_both_fields_pass(tmp_path):
    async with run_deployment(tmp_path) as deployment:
        await start(deployment)
        lines = f'{BY_KEY}Ebonystream-Tenant: other\r\n'
        assert (await deployment.call('a', lines=lines))[0] == 200
        assert dict(list_identity(deployment, 'a')) == {
            b'authorization': b'Token ' + KEY.encode(),
            b'ebonystream-tenant': b'other',
        }


@pytest.mark.parametrize(
    'mode', [StoreMode.UNAVAILABLE, StoreMode.UNRESPONSIVE]
)
async def test_a_host_without_the_store_stops_judging_keys(tmp_path, mode):
    """Within the bound it serves; then 503, and 200 again with the store."""
    async with run_deployment(
        tmp_path, strict_revoke=True, revoke=f'{REVOKE_S}s'
    ) as deployment:
        await start(deployment, kaje80=[KEY])
        calls_before = sum(deployment.store.calls.values())
        await trio.sleep(REVOKE_S)
        # In normal operation the host stays fresh, with a few calls a second.
        assert (await deployment.call('a', lines=BY_KEY))[0] == 200
        calls = sum(deployment.store.calls.values()) - calls_before
        assert calls <= 10 * REVOKE_S

        deployment.store.mode = mode
        configure(deployment, 2, kaje80=[OTHER_KEY])
        await trio.sleep(REVOKE_S)
        for lines in (BY_KEY, BY_OTHER_KEY, ''):
            response = await deployment.exchange('b', lines=lines)
            assert response.status == HTTPStatus.SERVICE_UNAVAILABLE
            assert json.loads(response.body)['error'] == 'configuration_stale'
            assert b'retry-after' in dict(response.headers)
        assert (await deployment.call('c', path=OPEN_PATH))[0] == 200

        deployment.store.mode = StoreMode.AVAILABLE

        async def is_renewed():
            return (await deployment.call('d', lines=BY_OTHER_KEY))[0] == 200

        await deployment.wait_until(is_renewed, within=5)
        assert (await deployment.call('e', lines=BY_KEY))[0] == 401
        events = [line['message_type'] for line in deployment.read_log()]
        assert events.count('keys_not_judged') == 1
        assert events.count('keys_judged') == 1


async def test_a_frozen_host_runs_no_request_of_a_withdrawn_key(tmp_path):
    """What waits in a frozen process is not sent after the key is withdrawn."""
    async with run_deployment(
        tmp_path, strict_revoke=True, revoke=f'{REVOKE_S}s'
    ) as deployment:
        await start(deployment, kaje80=[KEY])
        deployment.process.send_signal(signal.SIGSTOP)
        configure(deployment, 2, kaje80=[OTHER_KEY])
        acknowledged_at = time.monotonic()
        await trio.sleep(REVOKE_S + 0.2)
        statuses = []

        async def call():
            statuses.append((await deployment.call('a', lines=BY_KEY))[0])

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(0.2)
            assert time.monotonic() - acknowledged_at > REVOKE_S
            deployment.process.send_signal(signal.SIGCONT)
        assert statuses in ([503], [401])
        assert not any(
            server.received for server in deployment.servers.values()
        )
