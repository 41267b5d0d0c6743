"""Test the operations, errors and description of the administration API."""

from random import Random

import attrs
import httpx
import msgspec
import pytest
from control_records import FAULTY, LISTS

from ebonystream.admin import make_admin_app
from ebonystream.composition._admin import make_admin_functions
from ebonystream.composition._parts import make_parts
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.logservice import LogPage, LogRecord, LogService
from ebonystream.observation import Traffic
from ebonystream.settings import Settings
from standins.network import Network

KEY = 'sixteen-letters-é'
SETTINGS = Settings.model_validate(
    {
        'host': {'id': 'h1', 'zone': 'a', 'address': '127.0.0.1'},
        'callers': {'address': '127.0.0.1', 'port': 0},
        'peers': {
            'port': 0,
            'public_key': 'p' * 40,
            'secret_key': 's' * 40,
        },
        'admin': {'address': '127.0.0.1', 'port': 0, 'key': KEY},
        'log': {'url': 'http://127.0.0.1:7000'},
        'host_list': {'url': 'http://127.0.0.1:7001'},
    }
)
AUTHORIZED = {'authorization': f'Bearer {KEY}'}
ZONE_OUT = {'id': 'm', 'zone': 'a', 'direction': 'out'}
VERSION_MOVE = {
    'id': 'v',
    'service': 's',
    'from_version': 'v1',
    'to_version': 'v2',
    'finish_by': '2999-01-01T00:00:00+00:00',
}


async def start(*, listed=True):
    transport = Network(Random(0)).open_transport('h1')
    parts = make_parts(
        SETTINGS,
        client=httpx.AsyncClient(),
        transport=transport,
        platform_traffic=Traffic(),
    )
    control, outages = parts.control, []

    async def append(stream, body):
        if outages:
            raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE)
        offset = control.next_offset
        control.apply_page(
            LogPage(0, offset + 1, (LogRecord(offset, offset + 1, body),))
        )
        return offset

    parts = attrs.evolve(parts, log=LogService(append, None))
    if listed:
        parts.listed.set()
    app = make_admin_app(make_admin_functions(parts), key=KEY)
    return app, outages


async def send(app, request_line, body=None, headers=AUTHORIZED):
    method, path = request_line.split()
    if not isinstance(body, bytes | None):
        body = msgspec.json.encode(body)
    response = await app.test_client().open(
        path, method=method, data=body, headers=headers
    )
    return response.status_code, await response.get_data(as_text=False)


PUBLISH = ('POST /v1/lists', {'based_on': 0, 'lists': LISTS})
REQUEST_ZONE_OUT = ('POST /v1/moves/zones', ZONE_OUT)


@pytest.mark.parametrize(
    ('earlier_requests', 'request_line', 'body', 'status', 'expected'),
    [
        ([], 'GET /v1/lists', None, 200, {'version': 0, 'lists': None}),
        ([], *PUBLISH, 200, {'version': 1}),
        ([PUBLISH], *PUBLISH, 409, {'error': 'publish_rejected'}),
        (
            [('POST /v1/lists', {**PUBLISH[1], 'id': 'p'})],
            'POST /v1/lists',
            {**PUBLISH[1], 'id': 'p'},
            200,
            {'version': 1},
        ),
        (
            [('POST /v1/lists', {**PUBLISH[1], 'id': 'p'})],
            'POST /v1/moves/zones',
            {**ZONE_OUT, 'id': 'p'},
            409,
            {'detail': 'the id p was used for another request'},
        ),
        (
            [],
            'POST /v1/lists',
            {'based_on': 0, 'lists': FAULTY},
            409,
            {
                'detail': '$: Value error, customer verein has the plan '
                'silver, which is not in plans'
            },
        ),
        (
            [],
            'POST /v1/lists',
            {'based_on': '0', 'lists': LISTS, 'x': 1},
            400,
            {
                'detail': '$.based_on: Input should be a valid integer; '
                '$.x: Extra inputs are not permitted'
            },
        ),
        ([], 'POST /v1/lists', b'{', 400, {'error': 'malformed_request'}),
        (
            [],
            'POST /v1/lists',
            b'[' * 9999,
            400,
            {'error': 'malformed_request'},
        ),
        ([], 'POST /v1/lists', b'\xff', 400, {'error': 'malformed_request'}),
        (
            [],
            *REQUEST_ZONE_OUT,
            200,
            {'state': 'running', 'in_flight': 0, 'late': False},
        ),
        ([REQUEST_ZONE_OUT], *REQUEST_ZONE_OUT, 200, {'state': 'running'}),
        (
            [REQUEST_ZONE_OUT],
            'POST /v1/moves/zones',
            {**ZONE_OUT, 'id': 'n'},
            409,
            {'detail': 'zone a is out already'},
        ),
        (
            [],
            'POST /v1/moves/zones',
            {**ZONE_OUT, 'id': 'a/b'},
            400,
            {'error': 'malformed_request'},
        ),
        (
            [],
            'POST /v1/moves/versions',
            VERSION_MOVE,
            200,
            {'state': 'running'},
        ),
        (
            [],
            'POST /v1/moves/versions',
            {**VERSION_MOVE, 'finish_by': '2999-01-01T00:00:00'},
            400,
            {'detail': '$.finish_by: Input should have timezone info'},
        ),
        (
            [REQUEST_ZONE_OUT],
            'GET /v1/moves/m',
            None,
            200,
            {'state': 'running'},
        ),
        ([], 'GET /v1/moves/m', None, 404, {'detail': 'move m'}),
        (
            [REQUEST_ZONE_OUT],
            'POST /v1/moves/m/take-back',
            {'reason': 'a mistake'},
            200,
            {'state': 'taken_back', 'reason': 'a mistake'},
        ),
        (
            [],
            'POST /v1/moves/m/take-back',
            {'reason': 'a mistake'},
            404,
            {'error': 'not_found'},
        ),
        ([], 'GET /v1/status', None, 200, {'host': 'h1', 'caught_up': False}),
        ([PUBLISH], 'GET /v1/status', None, 200, {'caught_up': True}),
        ([], 'GET /v1/backends', None, 200, {'backends': []}),
        ([], 'GET /v1/versions', None, 200, {'services': []}),
        (
            [('POST /v1/moves/versions', VERSION_MOVE)],
            'GET /v1/versions',
            None,
            200,
            {
                'services': [
                    {
                        'service': 's',
                        'settled': 'v1',
                        'servers': {},
                        'open_move': 'v',
                        'taken_back': [],
                    }
                ]
            },
        ),
        ([], 'GET /v1/nothing', None, 404, {'error': 'not_found'}),
        ([], 'DELETE /v1/lists', None, 404, {'error': 'not_found'}),
    ],
)
async def test_operation(
    autojump_clock, earlier_requests, request_line, body, status, expected
):
    app, _ = await start()
    for earlier in earlier_requests:
        assert (await send(app, *earlier))[0] == 200
    received_status, data = await send(app, request_line, body)
    response = msgspec.json.decode(data)
    fields = {name: response.get(name) for name in expected}
    assert (received_status, fields) == (status, expected)


@pytest.mark.parametrize(
    ('headers', 'status'),
    [
        ({}, 401),
        ({'authorization': 'Bearer wrong'}, 401),
        ({'authorization': 'Bearer \xe9'}, 401),
        ({'authorization': KEY}, 200),
        (AUTHORIZED, 200),
    ],
)
async def test_key_is_required(autojump_clock, headers, status):
    app, _ = await start()
    assert (await send(app, 'GET /v1/hosts', headers=headers))[0] == status


async def test_outcome_is_unknown_during_log_outage(autojump_clock):
    app, outages = await start()
    outages.append(True)
    status, data = await send(app, *REQUEST_ZONE_OUT)
    assert (status, msgspec.json.decode(data)['outcome']) == (503, 'unknown')


async def test_host_missing_in_host_list_confirms_nothing(autojump_clock):
    app, _ = await start(listed=False)
    status, data = await send(app, *REQUEST_ZONE_OUT)
    report = msgspec.json.decode(data)
    assert (status, report['state']) == (200, 'asked')
    assert report['reason'] == 'host h1, not confirmed'


async def test_description_lists_every_route(autojump_clock):
    app, _ = await start()
    status, data = await send(app, 'GET /v1/openapi.json')
    description = msgspec.json.decode(data)
    described_routes = {
        (path, method.upper())
        for path, methods in description['paths'].items()
        for method in methods
    }
    routes = {
        (str(rule).replace('<', '{').replace('>', '}'), method)
        for rule in app.url_map.iter_rules()
        for method in rule.methods - {'HEAD', 'OPTIONS'}
    }
    assert (status, described_routes) == (200, routes)
    schemas = description['components']['schemas']
    for name in find_references(description):
        assert name.removeprefix('#/components/schemas/') in schemas


def find_references(node):
    if isinstance(node, dict):
        if isinstance(node.get('$ref'), str):
            yield node['$ref']
        node = list(node.values())
    if isinstance(node, list):
        for child in node:
            yield from find_references(child)
