"""Records of other writers: each is decoded in full or refused with a reason.

No content of a record, a response or a datagram may raise anything but the
error of its format, as one record is read by every host.
"""

import json

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from odd_inputs import (
    ODD_ADDRESSES,
    ODD_DOCUMENTS,
    ODD_DURATIONS,
    ODD_NUMBERS,
    ODD_SERVER_IDS,
)
from test_platform_formats import (
    HEARTBEAT,
    ROUTE,
    SERVICE,
    SETTINGS,
    make_configuration,
    make_record,
)

from ebonystream._ids import MoveId, Offset, ServiceName
from ebonystream.platform import (
    FormatError,
    Listing,
    decode_hosts,
    decode_orders,
    decode_servers,
    decode_settings,
    find_reported_verdict,
)
from ebonystream.platform._configuration import decode_configuration
from ebonystream.platform._durations import parse_duration
from ebonystream.platform._orders import decode_version_order
from ebonystream.platform._servers import decode_server

MAX_REASON_LENGTH = 300
ROLLOUT = {'service': 'records', 'target_version': 'v2', 'duration': '9s'}


def write_with(record, field, odd_json):
    """Write a record with one field that is replaced by a JSON text."""
    fields = {key: json.dumps(value) for key, value in record.items()}
    fields[field] = odd_json
    members = (f'{json.dumps(key)}:{text}' for key, text in fields.items())
    return f'{{{",".join(members)}}}'.encode()


def decode_rollout(content):
    return decode_version_order(make_record('rollout/records', content))


def decode_entry(content):
    return decode_server(make_record('i-1', content))


@pytest.mark.parametrize('content', ODD_DOCUMENTS)
@pytest.mark.parametrize(
    'decode',
    [decode_entry, decode_rollout, decode_configuration, decode_settings],
)
def test_odd_documents(decode, content):
    with pytest.raises(FormatError) as refused:
        decode(content)
    assert len(str(refused.value)) < MAX_REASON_LENGTH


@pytest.mark.parametrize(
    'unknown',
    [b'[' * 100_000 + b']' * 100_000, b'{"a":' * 5000 + b'1' + b'}' * 5000],
)
def test_deep_nesting_in_an_unknown_field(unknown):
    content = json.dumps(HEARTBEAT).encode()[:-1] + b',"x":' + unknown + b'}'
    with pytest.raises(FormatError):
        decode_entry(content)


def test_brackets_in_a_text_are_no_nesting():
    version = '[{' * 50
    content = json.dumps(
        {**HEARTBEAT, 'version': version, 'x': '\\"['}
    ).encode()
    assert decode_entry(content).version == version


@pytest.mark.parametrize('text', ODD_DURATIONS)
def test_odd_durations(text):
    with pytest.raises(FormatError) as refused:
        parse_duration(text)
    assert len(str(refused.value)) < MAX_REASON_LENGTH


@pytest.mark.parametrize(
    ('record', 'field', 'decode'),
    [
        (HEARTBEAT, 'slots', decode_entry),
        (HEARTBEAT, 'sequence', decode_entry),
    ],
)
@pytest.mark.parametrize('odd', ODD_NUMBERS)
def test_odd_numbers(record, field, decode, odd):
    with pytest.raises(FormatError):
        decode(write_with(record, field, odd))


@pytest.mark.parametrize('odd', [*ODD_NUMBERS[:-1], '[]', '{}', '"1"'])
def test_odd_start_time(odd):
    with pytest.raises(FormatError):
        decode_entry(write_with(HEARTBEAT, 'born', odd))


@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_odd_addresses(address):
    with pytest.raises(FormatError) as refused:
        decode_entry(json.dumps({**HEARTBEAT, 'address': address}).encode())
    assert len(str(refused.value)) < MAX_REASON_LENGTH


@pytest.mark.parametrize('key', ODD_SERVER_IDS)
def test_odd_server_ids(key):
    with pytest.raises(FormatError):
        decode_server(make_record(key, HEARTBEAT))


@pytest.mark.parametrize('field', ['service', 'zone', 'version'])
@pytest.mark.parametrize('odd', ['', 'x' * 300, 'a\nb', '\x00'])
def test_odd_names(field, odd):
    with pytest.raises(FormatError):
        decode_entry(json.dumps({**HEARTBEAT, field: odd}).encode())


@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_odd_entries_do_not_hide_the_others(address):
    unreadable = []
    listing = Listing(
        (
            make_record('i-0', {**HEARTBEAT, 'address': address}),
            make_record('i-1', HEARTBEAT),
        ),
        Offset(9),
    )
    entries = decode_servers(listing, lambda key, why: unreadable.append(key))
    assert [entry.id for entry in entries] == ['i-1']
    assert unreadable == ['i-0']


@pytest.mark.parametrize(
    ('record', 'field', 'odd'),
    [
        (ROUTE, 'max_attempts', '0'),
        (ROUTE, 'max_attempts', '9' * 400),
        (ROUTE, 'priority', '-1'),
        (ROUTE, 'priority', '9' * 30),
        (ROUTE, 'timeout', '"nans"'),
        (ROUTE, 'timeout', '"0s"'),
        (ROUTE, 'target_latency', '"-1s"'),
        (ROUTE, 'path_prefix', '"racks"'),
        (ROUTE, 'traffic_split', '[{"service":"a","weight":1e999}]'),
        (ROUTE, 'traffic_split', '[{"service":"a","weight":-1}]'),
        (ROUTE, 'service', '""'),
        (SERVICE, 'health_path', '"/a b"'),
        (SERVICE, 'health_path', '"/a\\r\\nx: y"'),
        (SERVICE, 'health_path', '"health"'),
        (SERVICE, 'max_conns', '0'),
        (SERVICE, 'cold_per_s', '1e999'),
        (SERVICE, 'cold_per_s', '-1'),
        (SERVICE, 'cold_start', '"infs"'),
    ],
)
def test_odd_configurations(record, field, odd):
    kind = 'routes' if record is ROUTE else 'services'
    spec = write_with(record, field, odd).decode()
    content = (
        f'{{"version":7,"resources":[{{"resource_kind":"{kind}",'
        f'"metadata":{{"name":"r"}},"spec":{spec}}}]}}'
    ).encode()
    with pytest.raises(FormatError):
        decode_configuration(content)


def test_split_without_any_weight():
    shares = [{'service': name, 'weight': 0} for name in ('a', 'b')]
    route = {**ROUTE, 'service': None, 'traffic_split': shares}
    content = msgspec.json.encode(make_configuration(route))
    with pytest.raises(FormatError):
        decode_configuration(content)


@pytest.mark.parametrize('odd', ['"nans"', '"-1s"', '9', 'null'])
def test_odd_orders_do_not_hide_the_others(odd):
    unreadable = []
    listing = Listing(
        (
            make_record(
                'rollout/desk', write_with(ROLLOUT, 'duration', odd), 4
            ),
            make_record('rollout/records', ROLLOUT, 5),
        ),
        Offset(9),
    )
    orders = decode_orders(listing, lambda key, why: unreadable.append(key))
    assert [move.service for move in orders.moves] == ['records']
    assert unreadable == ['rollout/desk']


@pytest.mark.parametrize(
    'content',
    [
        *ODD_DOCUMENTS,
        b'{"address":"example"}',
        b'{"address":"10.0.0.999"}',
        b'{"address":"0.0.0.0"}',
        b'{"address":7}',
    ],
)
def test_odd_host_records(content):
    unreadable = []
    listing = Listing(
        (
            make_record('e1', content),
            make_record('e2', {'address': '10.0.0.2'}),
        ),
        Offset(2),
    )
    hosts = decode_hosts(listing, lambda key, why: unreadable.append(key))
    assert [host.address for host in hosts] == ['10.0.0.2']
    assert unreadable == ['e1']


@pytest.mark.parametrize('content', ODD_DOCUMENTS)
def test_odd_reports_name_no_verdict(content):
    listing = Listing((make_record('rollout/records', content),), Offset(2))
    order = MoveId('rollout/records@8')
    assert find_reported_verdict(listing, ServiceName('records'), order) is None


@pytest.mark.parametrize(
    ('path', 'odd'),
    [
        (('network', 'internal_ports'), [0, 1]),
        (('network', 'internal_ports'), [65_535, 65_535]),
        (('network', 'internal_ports'), [70_000, 70_001]),
        (('network', 'listen', 'front'), '10.1.0.10:0'),
        (('network', 'seeds'), ['10.1.0.10:99999']),
        (('local', 'ip'), 'here'),
        (('platform', 'platform', 'address'), '10.200.1.7'),
        (('terms', 'bounds', 'grace'), '-1s'),
        (('terms', 'bounds', 'config_apply'), '0s'),
        (('terms', 'bounds', 'config_apply'), '2h'),
        (('terms', 'bounds', 'retry_budget_slack'), -1),
        (('terms', 'bounds', 'retry_budget_ratio'), 10**30),
    ],
)
def test_odd_settings(path, odd):
    document = json.loads(json.dumps(SETTINGS))
    table = document
    for key in path[:-1]:
        table = table[key]
    table[path[-1]] = odd
    with pytest.raises(FormatError):
        decode_settings(json.dumps(document).encode())


json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**40), 10**40)
    | st.floats()
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.sampled_from(sorted(HEARTBEAT)), json_values, st.text(max_size=9))
def test_any_field_of_an_entry_may_be_odd(field, odd, key):
    content = json.dumps({**HEARTBEAT, field: odd}).encode()
    try:
        entry = decode_server(make_record(key, content))
    except FormatError:
        return
    assert 1 <= entry.at.port <= 65_535
    assert 1 <= entry.slots < 10**6
    assert 0 <= entry.cold < 10**6
    assert entry.id.encode('ascii')


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.binary(max_size=40),
    st.integers(0, 200),
    st.integers(0, 40),
    st.sampled_from([decode_entry, decode_rollout, decode_settings]),
)
def test_damaged_records_are_refused_or_in_range(noise, start, cut, decode):
    sound = {
        decode_entry: HEARTBEAT,
        decode_rollout: ROLLOUT,
        decode_settings: SETTINGS,
    }[decode]
    content = json.dumps(sound).encode()
    damaged = content[:start] + noise + content[start + cut :]
    try:
        decode(damaged)
    except FormatError as error:
        assert len(str(error)) < MAX_REASON_LENGTH
