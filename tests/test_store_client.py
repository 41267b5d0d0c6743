"""The client of the store: the result of each response, and of none."""

import base64
import struct

import msgspec
import pytest
import trio

from ebonystream._address import ServerAddress
from ebonystream._ids import Offset
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.http1 import Message
from ebonystream.link import ExchangeFailure
from ebonystream.platform import KeyedRecord, StoreClient

STORE_ADDRESS = ServerAddress('10.0.0.1', 80)


def make_response(status, body=b'', eras=()):
    return Message(
        target=b'',
        headers=tuple((b'store-era', era) for era in eras),
        body=body,
        keep_alive=True,
        method=b'',
        status=status,
    )


def make_store(*replies):
    """Return a client and its requests; None among the replies never comes."""
    requests, remaining = [], list(replies)

    async def exchange(at, request, is_own):
        requests.append(request)
        reply = remaining.pop(0)
        if reply is None:
            await trio.sleep_forever()
        return reply

    return StoreClient(STORE_ADDRESS, exchange, lambda call: None), requests


def make_page(keys, *, more=False, end=9):
    return msgspec.json.encode(
        {
            'items': [
                {
                    'key': key,
                    'value': base64.b64encode(key.encode()).decode(),
                    'offset': 1,
                }
                for key in keys
            ],
            'more': more,
            'end': end,
        }
    )


FAILURES = [
    make_response(503),
    make_response(429),
    make_response(500),
    make_response(200, b'{'),
    ExchangeFailure.UNREACHABLE,
    ExchangeFailure.INTERRUPTED,
    None,
]


@pytest.mark.parametrize('reply', FAILURES)
@pytest.mark.parametrize('call', ['list', 'append', 'wait'])
async def test_failures_raise_log_unavailable(autojump_clock, reply, call):
    store, _ = make_store(reply)
    calls = {
        'list': lambda: store.list_newest('keyed.t'),
        'append': lambda: store.append_keyed('t', KeyedRecord('k', b'v')),
        'wait': lambda: store.wait_for_append('t', Offset(1), wait=2),
    }
    with pytest.raises(EbonystreamError) as raised:
        await calls[call]()
    assert raised.value.kind is ErrorKind.LOG_UNAVAILABLE


async def test_pages_are_read_to_their_end():
    store, requests = make_store(
        make_response(200, make_page(['a', 'b'], more=True)),
        make_response(200, make_page(['c'])),
    )
    listing = await store.list_newest('keyed.t')
    assert [record.key for record in listing.records] == ['a', 'b', 'c']
    assert listing.records[0].content == b'a'
    assert listing.end == 9
    assert b'after=b' in requests[1]


@pytest.mark.parametrize(
    ('ends', 'end'), [([9], 9), ([9, 9], 9), ([9, 12], 9), ([9, 12, 15], 9)]
)
async def test_a_write_between_two_pages_is_not_missed(ends, end):
    # Guards against a configuration that is never read, as it was written
    # after the page of its key and before the last page (CONFIG).
    store, _ = make_store(
        *(
            make_response(200, make_page(['a'], more=True, end=page_end))
            for page_end in ends[:-1]
        ),
        make_response(200, make_page(['b'], end=ends[-1])),
    )
    assert (await store.list_newest('keyed.op')).end == end


@pytest.mark.parametrize(
    ('eras', 'era'),
    [
        ([[], []], 0),
        ([[b'0'], [b'0']], 0),
        ([[b'3'], [b'3']], 3),
        # The store has returned between two pages.
        ([[b'3'], [b'4']], None),
        ([[], [b'1']], None),
        ([[b'4'], [b'3']], None),
        ([[b''], [b'']], None),
        ([[b'-1'], [b'-1']], None),
        ([[b'1.5'], [b'1.5']], None),
        ([[b'\xb2'], [b'\xb2']], None),
        ([[b'9' * 400], [b'9' * 400]], None),
        ([[b'3', b'3'], [b'3', b'3']], None),
    ],
)
async def test_eras_of_pages(eras, era):
    store, _ = make_store(
        make_response(200, make_page(['a'], more=True), eras[0]),
        make_response(200, make_page(['b']), eras[1]),
    )
    try:
        listing = await store.list_newest('keyed.op')
    except EbonystreamError as error:
        assert (error.kind, era) == (ErrorKind.LOG_UNAVAILABLE, None)
    else:
        assert listing.era == era


@pytest.mark.parametrize(
    ('reply', 'at', 'offset'),
    [
        (make_response(200, b'{"offset":5,"end":6}'), None, 5),
        (make_response(200, b'{"offset":5,"end":6}'), 5, 5),
        (make_response(412, b'{"end":7}'), 5, None),
    ],
)
async def test_appends(reply, at, offset):
    store, requests = make_store(reply)
    record = KeyedRecord('key', b'value')
    assert await store.append_keyed('t', record, expected_end=at) == offset
    assert requests[0].endswith(struct.pack('>I', 9) + b'\x03keyvalue')
    assert (b'at=5' in requests[0]) is (at is not None)


@pytest.mark.parametrize(
    ('reply', 'found'),
    [
        (make_response(200, struct.pack('>QQ', 8, 0)), (0, 8)),
        (make_response(200, struct.pack('>QQ', 8, 0), [b'4']), (4, 8)),
        (make_response(410, b'{"first":7}'), (0, None)),
        (make_response(410, b'{"first":7}', [b'4']), (4, None)),
        # What the topic had before it was lost.
        (make_response(410, b'', [b'4']), (4, None)),
    ],
)
async def test_waits(reply, found):
    store, requests = make_store(reply)
    result = await store.wait_for_append('t', Offset(3), wait=2)
    assert (result.era, result.end) == found
    assert b'from=3' in requests[0]
    assert b'wait_ms=2000' in requests[0]
