"""The administration API: each operation, its refusals and its description."""

from random import Random

import attrs
import httpx
import msgspec
import pytest
from control_records import FAULTY, LISTS

from ebonystream.admin import make_admin_app
from ebonystream.composition._admin import make_verbs
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
GOOD = {'authorization': f'Bearer {KEY}'}
OUT = {'id': 'm', 'zone': 'a', 'direction': 'out'}
VERSION = {
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
    control, down = parts.control, []

    async def append(stream, body):
        if down:
            raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE)
        offset = control.next_offset
        control.apply_page(
            LogPage(0, offset + 1, (LogRecord(offset, offset + 1, body),))
        )
        return offset

    parts = attrs.evolve(parts, log=LogService(append, None))
    if listed:
        parts.listed.set()
    app = make_admin_app(make_verbs(parts), key=KEY)
    return app, down


async def send(app, line, body=None, headers=GOOD):
    method, path = line.split()
    sent = body if isinstance(body, bytes | None) else msgspec.json.encode(body)
    answer = await app.test_client().open(
        path, method=method, data=sent, headers=headers
    )
    return answer.status_code, await answer.get_data(as_text=False)


PUBLISH = ('POST /v1/lists', {'based_on': 0, 'lists': LISTS})
ASK_OUT = ('POST /v1/moves/zones', OUT)


@pytest.mark.parametrize(
    ('before', 'line', 'body', 'status', 'told'),
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
            {**OUT, 'id': 'p'},
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
            *ASK_OUT,
            200,
            {'state': 'running', 'in_flight': 0, 'late': False},
        ),
        ([ASK_OUT], *ASK_OUT, 200, {'state': 'running'}),
        (
            [ASK_OUT],
            'POST /v1/moves/zones',
            {**OUT, 'id': 'n'},
            409,
            {'detail': 'zone a is out already'},
        ),
        (
            [],
            'POST /v1/moves/zones',
            {**OUT, 'id': 'a/b'},
            400,
            {'error': 'malformed_request'},
        ),
        ([], 'POST /v1/moves/versions', VERSION, 200, {'state': 'running'}),
        (
            [],
            'POST /v1/moves/versions',
            {**VERSION, 'finish_by': '2999-01-01T00:00:00'},
            400,
            {'detail': '$.finish_by: Input should have timezone info'},
        ),
        ([ASK_OUT], 'GET /v1/moves/m', None, 200, {'state': 'running'}),
        ([], 'GET /v1/moves/m', None, 404, {'detail': 'move m'}),
        (
            [ASK_OUT],
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
            [('POST /v1/moves/versions', VERSION)],
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
async def test_operation(autojump_clock, before, line, body, status, told):
    app, _ = await start()
    for earlier in before:
        assert (await send(app, *earlier))[0] == 200
    code, answer = await send(app, line, body)
    found = msgspec.json.decode(answer)
    assert (code, {name: found.get(name) for name in told}) == (status, told)


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        ({}, 401),
        ({'authorization': 'Bearer wrong'}, 401),
        ({'authorization': 'Bearer \xe9'}, 401),
        ({'authorization': KEY}, 200),
        (GOOD, 200),
    ],
)
async def test_key(autojump_clock, sent, status):
    app, _ = await start()
    assert (await send(app, 'GET /v1/hosts', headers=sent))[0] == status


async def test_log_that_is_down_leaves_it_unknown(autojump_clock):
    app, down = await start()
    down.append(True)
    code, answer = await send(app, *ASK_OUT)
    assert (code, msgspec.json.decode(answer)['outcome']) == (503, 'unknown')


async def test_host_that_is_not_listed_confirms_nothing(autojump_clock):
    app, _ = await start(listed=False)
    code, answer = await send(app, *ASK_OUT)
    told = msgspec.json.decode(answer)
    assert (code, told['state']) == (200, 'asked')
    assert told['reason'] == 'host h1, not confirmed'


async def test_description_holds_each_route(autojump_clock):
    app, _ = await start()
    code, answer = await send(app, 'GET /v1/openapi.json')
    described = msgspec.json.decode(answer)
    listed = {
        (path, method.upper())
        for path, methods in described['paths'].items()
        for method in methods
    }
    routes = {
        (str(rule).replace('<', '{').replace('>', '}'), method)
        for rule in app.url_map.iter_rules()
        for method in rule.methods - {'HEAD', 'OPTIONS'}
    }
    assert (code, listed) == (200, routes)
    schemas = described['components']['schemas']
    for name in find_references(described):
        assert name.removeprefix('#/components/schemas/') in schemas


def find_references(part):
    if isinstance(part, dict):
        if isinstance(part.get('$ref'), str):
            yield part['$ref']
        part = list(part.values())
    if isinstance(part, list):
        for one in part:
            yield from find_references(one)
