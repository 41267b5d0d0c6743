"""Message formats of the users' platform: decoding, encoding, rejection."""

import msgspec
import pytest

from ebonystream._calls import CallKind
from ebonystream._ids import MoveId, Offset, ServiceName, VersionName
from ebonystream.gossip import RegisteredHost
from ebonystream.http1 import Message
from ebonystream.platform import (
    FormatError,
    KeyedRecord,
    Listing,
    decode_hosts,
    decode_orders,
    decode_servers,
    decode_settings,
    encode_host_record,
    encode_move_status,
    find_reported_verdict,
    make_codec,
)
from ebonystream.platform._configuration import decode_configuration
from ebonystream.platform._durations import parse_duration
from ebonystream.platform._servers import decode_server
from ebonystream.request import ResponseVerdict
from ebonystream.roster import EntryState
from ebonystream.route import match_route
from ebonystream.versionmove import MoveVerdict, VersionMove

CODEC = make_codec()
HOST = RegisteredHost('10.1.0.1', 'a')
HEARTBEAT = {
    'service': 'records',
    'address': '10.0.0.9:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 2,
    'state': 'ready',
    'cold_remaining': '1500ms',
    'sequence': 4,
    'born': 1_800_000_000_000,
}
ROUTE = {
    'host': 'Shop.example',
    'path_prefix': '/racks/',
    'kind': 'idempotent',
    'timeout': '1500ms',
    'target_latency': '600ms',
    'priority': 2,
    'service': 'records',
    'max_attempts': 2,
}
SERVICE = {
    'health_path': '/health',
    'max_conns': 260,
    'cold_start': '3s',
    'cold_per_s': 2.7,
}
SETTINGS = {
    'local': {'node_name': 'edge-1', 'zone': 'a', 'ip': '10.1.0.10'},
    'network': {
        'listen': {'front': '10.1.0.10:8161', 'ready': '10.1.0.10:8167'},
        'internal_ports': [7720, 7735],
        'seeds': ['10.1.0.10:8166'],
    },
    'platform': {
        'heartbeat': '1500ms',
        'platform': {'address': '10.200.1.7:8169'},
    },
    'terms': {'bounds': {'drain': '2000ms', 'retry_budget_slack': 62}},
}


def make_record(key, content, offset=3):
    body = (
        content if isinstance(content, bytes) else msgspec.json.encode(content)
    )
    return KeyedRecord(key, body, Offset(offset))


def make_configuration(*routes, version=7):
    resources = [
        ('routes', f'r{number}', route) for number, route in enumerate(routes)
    ]
    resources.append(('services', 'records', SERVICE))
    return {
        'version': version,
        'resources': [
            {'resource_kind': kind, 'metadata': {'name': name}, 'spec': spec}
            for kind, name, spec in resources
        ],
    }


def make_message(status=200, body=b'x', **headers):
    encoded = tuple(
        (name.replace('_', '-').encode(), str(value).encode())
        for name, value in headers.items()
    )
    return Message(
        target=b'/racks/7?q=1',
        headers=encoded,
        body=body,
        keep_alive=True,
        method=b'GET',
        status=status,
    )


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [
        ('1500ms', 1.5),
        ('2.5s', 2.5),
        ('0ms', 0),
        ('12', None),
        ('s', None),
        ('', None),
        (7, None),
        (None, None),
    ],
)
def test_durations(text, seconds):
    if seconds is None:
        with pytest.raises(FormatError):
            parse_duration(text)
    else:
        assert parse_duration(text) == seconds


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'resting'},
        {'slots': 'two'},
        {'slots': 0},
        {'address': 'nowhere'},
        {'address': '10.0.0.9:http'},
        {'cold_remaining': 1500},
        {'service': None},
        {'born': 1.5},
    ],
)
def test_unreadable_server(change):
    with pytest.raises(FormatError):
        decode_server(make_record('i-1', {**HEARTBEAT, **change}))


@pytest.mark.parametrize('content', [b'', b'{', b'\xff\xfe', b'[]', b'null'])
def test_undecodable_server_is_reported_and_skipped(content):
    reported = []
    listing = Listing(
        (make_record('i-0', content), make_record('i-1', HEARTBEAT)), Offset(9)
    )
    entries = decode_servers(listing, lambda key, why: reported.append(key))
    assert [entry.id for entry in entries] == ['i-1']
    assert reported == ['i-0']


def test_server():
    entry = decode_server(
        make_record('i-1', {**HEARTBEAT, 'state': 'draining'})
    )
    assert entry.state is EntryState.LEAVING
    assert (entry.at.address, entry.at.port) == ('10.0.0.9', 8080)
    assert entry.cold == 1.5


@pytest.mark.parametrize(
    ('change', 'shares', 'kind'),
    [
        ({}, [('records', 1)], CallKind.IDEMPOTENT),
        ({'kind': 'non_idempotent'}, [('records', 1)], CallKind.AT_MOST_ONCE),
        # A configuration with this kind was refused whole, and no request
        # was served.
        ({'kind': 'upload'}, [('records', 1)], CallKind.AT_MOST_ONCE),
        (
            {
                'service': None,
                'traffic_split': [
                    {'service': 'records', 'weight': 90},
                    {'service': 'desk', 'weight': 10},
                ],
            },
            [('records', 90), ('desk', 10)],
            CallKind.IDEMPOTENT,
        ),
    ],
)
def test_routes(change, shares, kind):
    content = msgspec.json.encode(make_configuration({**ROUTE, **change}))
    configuration = decode_configuration(content)
    route = match_route(configuration, host='shop.EXAMPLE', path='/racks/7')
    assert [(share.service, share.weight) for share in route.shares] == shares
    assert route.kind is kind
    assert (route.timeout, route.objective) == (1.5, 0.6)


@pytest.mark.parametrize(
    'change',
    [{'kind': 'odd'}, {'service': None}, {'timeout': None}, {'timeout': 5}],
)
def test_unreadable_configuration_is_none(change):
    reported = []
    content = make_configuration({**ROUTE, **change})
    listing = Listing((make_record('config', content),), Offset(4))
    orders = decode_orders(listing, lambda key, why: reported.append(key))
    assert orders.configuration is None
    assert reported == ['config']


def test_orders():
    listing = Listing(
        (
            make_record('config', make_configuration(ROUTE)),
            make_record('evacuate/zone-b', {}),
            make_record(
                'rollout/records',
                {
                    'service': 'records',
                    'target_version': 'v2',
                    'duration': '12s',
                },
                offset=8,
            ),
            make_record('rollout/desk', {'service': 'desk'}),
        ),
        Offset(11),
    )
    reported = []
    orders = decode_orders(listing, lambda key, why: reported.append(key))
    assert orders.zones_out == {'zone-b'}
    assert [(move.id, move.version, move.within) for move in orders.moves] == [
        ('rollout/records@8', 'v2', 12)
    ]
    assert reported == ['rollout/desk']


@pytest.mark.parametrize('verdict', list(MoveVerdict))
@pytest.mark.parametrize(
    ('service', 'order', 'found'),
    [
        ('records', 'rollout/records@8', True),
        ('records', 'rollout/records@2', False),
        ('desk', 'rollout/records@8', False),
    ],
)
def test_status(verdict, service, order, found):
    move = VersionMove(
        id=MoveId('rollout/records@8'),
        service=ServiceName('records'),
        version=VersionName('v2'),
        started_at=0,
        duration=12,
        verdict=verdict,
    )
    listing = Listing((encode_move_status(move),), Offset(1))
    reported = find_reported_verdict(
        listing, ServiceName(service), MoveId(order)
    )
    assert reported is (verdict if found else None)


@pytest.mark.parametrize(
    ('content', 'hosts', 'unreadable'),
    [
        (
            encode_host_record(HOST, 'edge-1').content,
            (HOST,),
            [],
        ),
        (b'{"address":"10.1.0.1"}', (RegisteredHost('10.1.0.1', ''),), []),
        (b'{', (), ['edge-1']),
    ],
)
def test_hosts(content, hosts, unreadable):
    reported = []
    listing = Listing((make_record('edge-1', content),), Offset(1))
    decoded = decode_hosts(listing, lambda key, why: reported.append(key))
    assert decoded == hosts
    assert reported == unreadable


@pytest.mark.parametrize(
    ('table', 'field'),
    [
        ('local', 'node_name'),
        ('network', 'listen'),
        ('network', 'internal_ports'),
        ('platform', 'platform'),
    ],
)
def test_settings_without_a_field(table, field):
    rest = {
        key: value for key, value in SETTINGS[table].items() if key != field
    }
    with pytest.raises(FormatError):
        decode_settings(msgspec.json.encode({**SETTINGS, table: rest}))


def test_settings():
    settings = decode_settings(msgspec.json.encode({**SETTINGS, 'new': 1}))
    assert settings.peer_endpoint.port == 7720
    assert settings.limits.base_retries == 62
    assert settings.store_endpoint.port == int(
        SETTINGS['platform']['platform']['address'].split(':')[1]
    )


@pytest.mark.parametrize(
    ('message', 'verdict'),
    [
        (make_message(ebonystream_response_seal='s'), ResponseVerdict.SERVED),
        (
            make_message(404, ebonystream_response_seal='s'),
            ResponseVerdict.SERVED,
        ),
        (
            make_message(500, ebonystream_response_seal='s'),
            ResponseVerdict.FAILED,
        ),
        (
            make_message(504, ebonystream_response_seal='s'),
            ResponseVerdict.FAILED,
        ),
        (
            make_message(503, ebonystream_not_executed=1),
            ResponseVerdict.NOT_RUN,
        ),
        (
            make_message(429, ebonystream_not_executed=1),
            ResponseVerdict.NOT_RUN,
        ),
        (
            make_message(400, ebonystream_not_executed=1),
            ResponseVerdict.NOT_RUN,
        ),
        # A success that says so contradicts itself: it may have run.
        (
            make_message(
                200, ebonystream_not_executed=1, ebonystream_response_seal='s'
            ),
            ResponseVerdict.INVALID,
        ),
        (
            make_message(204, ebonystream_not_executed=1),
            ResponseVerdict.INVALID,
        ),
        (
            make_message(302, ebonystream_not_executed=1),
            ResponseVerdict.INVALID,
        ),
        (make_message(421), ResponseVerdict.MISDIRECTED),
        (make_message(200), ResponseVerdict.INVALID),
        (make_message(503), ResponseVerdict.INVALID),
        # Callers would read that it did not run, which only refusals state.
        *(
            (
                make_message(status, ebonystream_response_seal='s'),
                ResponseVerdict.INVALID,
            )
            for status in (408, 429, 503)
        ),
        (
            make_message(ebonystream_response_seal='s', content_encoding='br'),
            ResponseVerdict.INVALID,
        ),
    ],
)
def test_verdicts(message, verdict):
    assert CODEC.decode_response(message).verdict is verdict


@pytest.mark.parametrize(
    ('text', 'load'),
    [
        ('3,1,8', (3, 1, 8, 1.0)),
        ('3, 0, 8, 250', (3, 0, 8, 2.5)),
        ('3,0', None),
        ('a,b,c', None),
        ('', None),
        ('-1,0,2', None),
    ],
)
def test_load(text, load):
    response = CODEC.decode_response(make_message(ebonystream_server_load=text))
    parsed = response.load and (
        response.load.running,
        response.load.waiting,
        response.load.slots,
        response.load.pace,
    )
    assert parsed == load


@pytest.mark.parametrize(
    ('sent', 'deadline'),
    [
        ({'ebonystream_deadline_ms': 1500}, 11.5),
        ({'ebonystream_deadline_ms': 'soon'}, None),
        ({}, None),
    ],
)
def test_requests(sent, deadline):
    message = make_message(
        host='Shop.example:80', connection='close, x-own', x_own=1, x=2, **sent
    )
    request = CODEC.decode_request(message, 10.0)
    assert request.host == 'Shop.example'
    assert (request.target, request.path) == ('/racks/7?q=1', '/racks/7')
    assert request.deadline == deadline
    names = {name for name, _ in request.headers}
    assert names == {b'host', b'x'}


def test_server_request_carries_instance_and_time_left():
    request = CODEC.decode_request(
        make_message(host='h', ebonystream_attempt_id='a1'), 10.0
    )
    server = decode_server(make_record('i-1', HEARTBEAT))
    encoded = CODEC.encode_request(request, server, 0.75)
    assert b'\r\nebonystream-deadline-ms: 750\r\n' in encoded
    assert b'\r\nebonystream-expected-instance: i-1\r\n' in encoded
    assert b'\r\nebonystream-attempt-id: a1\r\n' in encoded


@pytest.mark.parametrize(
    ('sent', 'matches'),
    [
        ({'ebonystream_attempt_id': 'a1'}, True),
        ({'ebonystream_attempt_id': 'a2'}, False),
        ({'ebonystream_attempt_id': ''}, False),
        # Servers echo the id: a late copy of the response to a health check,
        # refused or not, answers no request.
        ({}, False),
        ({'ebonystream_not_executed': 1}, False),
        ({'ebonystream_instance_id': 'i-1'}, False),
        (
            {'ebonystream_instance_id': 'i-1', 'ebonystream_not_executed': 1},
            False,
        ),
    ],
)
def test_response_matching(sent, matches):
    request = CODEC.decode_request(
        make_message(host='h', ebonystream_attempt_id='a1'), 10.0
    )
    headers = make_message(**sent).headers
    assert CODEC.make_response_matcher(request)(headers) is matches
