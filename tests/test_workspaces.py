"""Workspaces: decoding, keys and header fields, admission, urgency."""

import attrs
import msgspec
import pytest
from platform_samples import make_entry
from test_platform_formats import (
    CODEC,
    ROUTE,
    SETTINGS,
    make_configuration,
)

from ebonystream._ids import Offset
from ebonystream.gossip._shared_encoding import (
    EncodedListing,
    SharedEncoder,
    decode_shared,
)
from ebonystream.gossip._shared_state import SharedOrders, SharedResponse
from ebonystream.http1 import ReaderLimits, make_request_reader
from ebonystream.orders import OrdersListing
from ebonystream.platform import FormatError, decode_settings
from ebonystream.platform._configuration import decode_configuration
from ebonystream.workspace import (
    Access,
    Credential,
    CredentialState,
    Verdict,
    WorkspaceIndex,
    compute_key_digest,
    decide_admission,
)

KEY, OTHER_KEY, LARGE_KEY = 'yx5x42q492cq', '8wuakn2ftima', 'k' * 8192
MANY_KEYS = [f'key-{number}' for number in range(10_000)]


def decode(tenants, **changes):
    """Decode a configuration with one route and some workspaces."""
    document = make_configuration({**ROUTE, **changes})
    for name, spec in tenants:
        document['resources'].append(
            {
                'resource_kind': 'tenants',
                'metadata': {'name': name},
                'spec': spec,
            }
        )
    return decode_configuration(msgspec.json.encode(document))


def read_request(*lines, body=b'', after=b''):
    """Read a request with some header lines as the host does."""
    reader = make_request_reader(
        ReaderLimits(head_bytes=16_384, body_bytes=999)
    )
    head = [b'GET /racks/7 HTTP/1.1', b'Host: shop.example', *lines]
    reader.feed(b'\r\n'.join([*head, b'', body]) + after)
    return CODEC.decode_request(reader.next_message(), 1.0)


def admit(configuration, request, *, is_fresh=True):
    """Decide on a request as a host does on its arrival."""
    return decide_admission(
        WorkspaceIndex.build(configuration.workspaces),
        request.credential,
        is_exempt=configuration.routes['shop.example'][0].exempt,
        is_fresh=is_fresh,
    )


@pytest.mark.parametrize(
    ('tenants', 'ranks'),
    [
        ([('kaje80', {'api_keys': [KEY, OTHER_KEY], 'priority': 1})], [1]),
        ([('a', {'api_keys': [KEY], 'colour': 'red'})], [None]),
        (
            [('a', {'api_keys': []}), ('b', {'api_keys': [KEY, KEY]})],
            [None, None],
        ),
        ([('a', {'api_keys': MANY_KEYS, 'priority': 0})], [0]),
        ([('a', {'api_keys': [LARGE_KEY], 'priority': 0})], [0]),
        ([], []),
    ],
)
def test_valid_workspaces(tenants, ranks):
    configuration = decode(tenants)
    assert [each.rank for each in configuration.workspaces] == ranks
    # Guards against a key that is kept, logged or sent to another host.
    assert KEY not in repr(configuration)
    assert KEY.encode() not in msgspec.msgpack.encode(configuration)


@pytest.mark.parametrize(
    'tenants',
    [
        [('a', {'api_keys': [KEY]}), ('b', {'api_keys': [OTHER_KEY, KEY]})],
        [('a', {'api_keys': [KEY]}), ('a', {'api_keys': [OTHER_KEY]})],
        [('a', {'api_keys': [f'{KEY} {KEY}']})],
        [('a', {'api_keys': ['']})],
        [('a', {'api_keys': KEY})],
        [('a', {'api_keys': [KEY, 7]})],
        [('a', {})],
        [('a\r\nx: y', {'api_keys': [KEY]})],
        [('', {'api_keys': [KEY]})],
        [('a', {'api_keys': [KEY], 'priority': -1})],
    ],
)
def test_invalid_workspaces_reject_the_configuration(tenants):
    with pytest.raises(FormatError) as caught:
        decode(tenants)
    # Guards against a key in the log line about the rejection.
    assert KEY not in str(caught.value)


SENT_KEYS = [
    # Header lines and the verdict.
    ([b'Authorization: Token yx5x42q492cq'], Verdict.ADMITTED),
    ([b'AUTHORIZATION:  tOKEN   yx5x42q492cq '], Verdict.ADMITTED),
    ([b'authorization:Token\tyx5x42q492cq'], Verdict.ADMITTED),
    (
        [b'Connection: authorization', b'Authorization: Token yx5x42q492cq'],
        Verdict.ADMITTED,
    ),
    ([], Verdict.REFUSED),
    ([b'Authorization: Token'], Verdict.REFUSED),
    ([b'Authorization:'], Verdict.REFUSED),
    ([b'Authorization: yx5x42q492cq'], Verdict.REFUSED),
    ([b'Authorization: Bearer yx5x42q492cq'], Verdict.REFUSED),
    ([b'Authorization: Token YX5X42Q492CQ'], Verdict.REFUSED),
    ([b'Authorization: Token yx5x42q492c'], Verdict.REFUSED),
    ([b'Authorization: Token yx5x42q492cqx'], Verdict.REFUSED),
    ([b'Authorization: Token yx5x42q492cq x'], Verdict.REFUSED),
    ([b'Authorization: Token "yx5x42q492cq"'], Verdict.REFUSED),
    ([b'Authorization: Token yx5x42q492cq'] * 2, Verdict.REFUSED),
    ([b'Ebonystream-Tenant: kaje80'], Verdict.REFUSED),
    ([b'Authorization: Token ' + b'x' * 8192], Verdict.REFUSED),
]


@pytest.mark.parametrize(('lines', 'verdict'), SENT_KEYS)
def test_keys_of_requests(lines, verdict):
    workspaces = [
        ('kaje80', {'api_keys': [KEY, LARGE_KEY]}),
        ('other', {'api_keys': MANY_KEYS}),
    ]
    admission = admit(decode(workspaces), read_request(*lines))
    assert admission.verdict is verdict
    name = admission.workspace.name if admission.workspace else None
    assert name == ('kaje80' if verdict is Verdict.ADMITTED else None)


@pytest.mark.parametrize('key', [KEY, LARGE_KEY, MANY_KEYS[0], MANY_KEYS[-1]])
def test_each_key_selects_its_workspace(key):
    workspaces = [
        ('small', {'api_keys': [KEY, LARGE_KEY]}),
        ('many', {'api_keys': MANY_KEYS}),
    ]
    request = read_request(b'Authorization: Token ' + key.encode())
    admission = admit(decode(workspaces), request)
    expected = 'many' if key in MANY_KEYS else 'small'
    assert admission.workspace.name == expected


@pytest.mark.parametrize('known', [True, False])
@pytest.mark.parametrize('exempt', [True, False])
@pytest.mark.parametrize('is_fresh', [True, False])
def test_verdicts(known, exempt, is_fresh):
    # Guards against a 401, which no client repeats, from a host that does not
    # know the newest keys, and against a withdrawn key that still works.
    configuration = decode(
        [('a', {'api_keys': [KEY if known else OTHER_KEY]})],
        auth_exempt=exempt,
    )
    request = read_request(b'Authorization: Token ' + KEY.encode())
    if exempt:
        expected = Verdict.EXEMPT
    elif not is_fresh:
        expected = Verdict.STALE
    else:
        expected = Verdict.ADMITTED if known else Verdict.REFUSED
    admission = admit(configuration, request, is_fresh=is_fresh)
    assert admission.verdict is expected


CLAIMS = [
    [b'Authorization: Token yx5x42q492cq'],
    [b'Ebonystream-Tenant: evil'],
    [b'EBONYSTREAM-TENANT: evil', b'ebonystream-tenant: evil'],
    [b'Ebonystream_Tenant: evil', b'eBonystream-tenAnt: evil, evil'],
    [b'Connection: ebonystream-tenant', b'Ebonystream-Tenant: evil'],
]
CHUNKED = b'1\r\nx\r\n0\r\nEbonystream-Tenant: evil\r\n\r\n'


@pytest.mark.parametrize('lines', CLAIMS)
@pytest.mark.parametrize(
    ('access', 'workspace', 'sent'),
    [
        (Access.KEY, 'kaje80', [b'kaje80']),
        (Access.EXEMPT, None, []),
    ],
)
def test_servers_get_the_workspace_and_no_key(lines, access, workspace, sent):
    # Guards against a client that names its workspace itself, and against a
    # key that reaches a backend server.
    request = attrs.evolve(
        read_request(
            b'Transfer-Encoding: chunked', *lines, body=b'', after=CHUNKED
        ),
        access=access,
        workspace=workspace,
    )
    encoded = CODEC.encode_request(request, make_entry(), 1.0).lower()
    assert KEY.encode() not in encoded
    assert b'evil' not in encoded
    names = [
        line.partition(b': ')
        for line in encoded.replace(b'_', b'-').split(b'\r\n')
        if line.startswith((b'ebonystream-tenant', b'authorization'))
    ]
    assert [value for _, _, value in names] == sent


def test_without_workspaces_both_fields_pass():
    request = read_request(
        b'Authorization: Basic eA==', b'X-Own: 1', b'Ebonystream-Tenant: evil'
    )
    encoded = CODEC.encode_request(request, make_entry(), 1.0)
    assert (
        b'authorization: Basic eA==\r\nx-own: 1\r\nebonystream-tenant: evil'
        in encoded
    )


def test_shared_orders_carry_digests_only():
    # Guards against workspaces that are lost on the way to another host,
    # which would then let in requests without a key.
    configuration = decode([('kaje80', {'api_keys': MANY_KEYS, 'priority': 3})])
    listing = OrdersListing(
        end=4, configuration=configuration, zones_out=frozenset(), moves=()
    )
    shared = SharedOrders(0.5, listing, end=4, asked_age=1.5)
    encoded = SharedEncoder().encode(SharedResponse('1', shared, None))
    assert decode_shared(encoded).orders == shared


EARLIER_LISTING = EncodedListing().encode(
    4,
    OrdersListing(
        end=Offset(4),
        configuration=decode([]),
        zones_out=frozenset(),
        moves=(),
    ),
)


@pytest.mark.parametrize(
    'orders',
    [
        [0.5, None],
        [0.5, EARLIER_LISTING],
        [0.5, EARLIER_LISTING, 0],
        [0.5, b'not known', 9],
    ],
)
def test_orders_of_another_encoding_count_as_none(orders):
    # Guards against orders of a host that drops the workspaces, and against a
    # loop of fetches that fail.
    shared = decode_shared(
        msgspec.msgpack.encode(['1', orders, [0.1, 2, None]])
    )
    assert shared.orders is None
    assert shared.entries.revision == 2


@pytest.mark.parametrize(
    ('bounds', 'revoke'),
    [
        ({}, None),
        # Settings that had no meaning before are not looked at.
        ({'revoke': 'soon'}, None),
        ({'strict_revoke': False, 'revoke': '5000ms'}, None),
        ({'strict_revoke': True}, 5),
        ({'strict_revoke': True, 'revoke': '2500ms'}, 2.5),
        ({'strict_revoke': True, 'revoke': '1s'}, FormatError),
        ({'strict_revoke': True, 'revoke': 'soon'}, FormatError),
        ({'strict_revoke': 'yes'}, FormatError),
    ],
)
def test_settings_of_revocation(bounds, revoke):
    content = msgspec.json.encode({**SETTINGS, 'terms': {'bounds': bounds}})
    if revoke is FormatError:
        with pytest.raises(FormatError):
            decode_settings(content)
    else:
        assert decode_settings(content).limits.revoke == revoke


def test_a_credential_is_a_digest():
    request = read_request(b'Authorization: Token ' + KEY.encode())
    digest = compute_key_digest(KEY.encode())
    assert request.credential == Credential(CredentialState.PRESENT, digest)
    # Guards against a key in a log line about an unforeseen error.
    assert KEY not in repr(request)
