"""The store's client: each answer, and none, has one meaning."""

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

AT = ServerAddress('10.0.0.1', 80)


def make_answer(status, body=b''):
    return Message(
        target=b'',
        headers=(),
        body=body,
        keep_alive=True,
        method=b'',
        status=status,
    )


def make_store(*replies):
    """Make a client whose calls get these replies; None is no answer."""
    asked, left = [], list(replies)

    async def exchange(at, request, is_own):
        asked.append(request)
        reply = left.pop(0)
        if reply is None:
            await trio.sleep_forever()
        return reply

    return StoreClient(AT, exchange, lambda call: None), asked


def make_page(keys, *, more=False):
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
            'end': 9,
        }
    )


FAILURES = [
    make_answer(503),
    make_answer(429),
    make_answer(500),
    make_answer(200, b'{'),
    ExchangeFailure.UNREACHABLE,
    ExchangeFailure.INTERRUPTED,
    None,
]


@pytest.mark.parametrize('reply', FAILURES)
@pytest.mark.parametrize('call', ['list', 'append', 'wait'])
async def test_failures_are_told(autojump_clock, reply, call):
    store, _ = make_store(reply)
    calls = {
        'list': lambda: store.list_newest('keyed.t'),
        'append': lambda: store.append_keyed('t', KeyedRecord('k', b'v')),
        'wait': lambda: store.wait_beyond('t', Offset(1), wait=2),
    }
    with pytest.raises(EbonystreamError) as raised:
        await calls[call]()
    assert raised.value.kind is ErrorKind.LOG_UNAVAILABLE


async def test_pages_are_read_to_their_end():
    store, asked = make_store(
        make_answer(200, make_page(['a', 'b'], more=True)),
        make_answer(200, make_page(['c'])),
    )
    listing = await store.list_newest('keyed.t')
    assert [one.key for one in listing.records] == ['a', 'b', 'c']
    assert listing.records[0].content == b'a'
    assert listing.end == 9
    assert b'after=b' in asked[1]


@pytest.mark.parametrize(
    ('reply', 'at', 'offset'),
    [
        (make_answer(200, b'{"offset":5,"end":6}'), None, 5),
        (make_answer(200, b'{"offset":5,"end":6}'), 5, 5),
        (make_answer(412, b'{"end":7}'), 5, None),
    ],
)
async def test_appends(reply, at, offset):
    store, asked = make_store(reply)
    record = KeyedRecord('key', b'value')
    assert await store.append_keyed('t', record, at=at) == offset
    assert asked[0].endswith(struct.pack('>I', 9) + b'\x03keyvalue')
    assert (b'at=5' in asked[0]) is (at is not None)


@pytest.mark.parametrize(
    ('reply', 'end'),
    [
        (make_answer(200, struct.pack('>QQ', 8, 0)), 8),
        (make_answer(410, b'{"first":7}'), 4),
    ],
)
async def test_waits(reply, end):
    store, asked = make_store(reply)
    assert await store.wait_beyond('t', Offset(3), wait=2) == end
    assert b'from=3' in asked[0]
    assert b'wait_ms=2000' in asked[0]
