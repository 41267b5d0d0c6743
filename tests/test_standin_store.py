"""The stand-in of the store: its eras, and the records that it has lost."""

import struct

import pytest
import trio

from ebonystream.http1 import Message, ReaderLimits, make_response_reader
from ebonystream.ingress import CallerPresence
from standins.platformstore import PlatformStore, StoreMode

TOPIC, OTHER = 'keyed.op', 'keyed.servers'
LIMITS = ReaderLimits(head_bytes=9999, body_bytes=9999)


def make_store(count=8):
    """Make a store in which each record of a topic has a key of its own."""
    store = PlatformStore()
    for number in range(count):
        store.put(TOPIC, f'k{number}', number)
    store.put(OTHER, 'i-1', 1)
    return store


async def call(store, method, target, body=b''):
    """Return the response of the store to one call."""
    request = Message(
        target=target.encode(),
        headers=(),
        body=body,
        keep_alive=True,
        method=method,
        status=0,
    )
    encoded = await store.respond(request, 0.0, CallerPresence())
    reader = make_response_reader(LIMITS)
    reader.feed(encoded.content)
    return reader.next_message()


async def read(store, start, wait_ms=0):
    target = f'/-/log-read?topic={TOPIC}&from={start}&wait_ms={wait_ms}'
    return await call(store, b'GET', target)


@pytest.mark.parametrize(
    ('mode', 'returns', 'start', 'status', 'era'),
    [
        (StoreMode.AVAILABLE, 0, 0, 200, b'1'),
        (StoreMode.AVAILABLE, 0, 9, 410, b'1'),
        (StoreMode.AVAILABLE, 1, 0, 200, b'2'),
        (StoreMode.AVAILABLE, 2, 9, 410, b'3'),
        (StoreMode.UNAVAILABLE, 1, 0, 503, b'2'),
    ],
)
async def test_all_responses_have_the_era(mode, returns, start, status, era):
    store = make_store()
    for _ in range(returns):
        store.restore_without(TOPIC, 1)
    store.mode = mode
    response = await read(store, start)
    assert response.status == status
    assert (b'store-era', era) in response.headers


@pytest.mark.parametrize(
    ('lost', 'keys'), [(0, 8), (1, 7), (5, 3), (8, 0), (99, 0)]
)
async def test_last_records_are_lost(lost, keys):
    store = make_store()
    store.restore_without(TOPIC, lost)
    topic = store.topics[TOPIC]
    assert (topic.end, len(topic.newest)) == (keys, keys)
    assert store.read(OTHER, 'i-1') == 1
    # Offsets are given out again.
    store.put(TOPIC, 'again', 1)
    assert topic.newest['again'][1] == keys


async def test_an_earlier_record_of_a_key_is_its_newest_again():
    store = make_store(0)
    store.put(TOPIC, 'config', 1)
    store.put(TOPIC, 'evacuate/b', 1)
    copy = store.make_copy()
    store.put(TOPIC, 'config', 2)
    store.put(TOPIC, 'evacuate/b', None)
    store.put('keyed.new', 'k', 1)
    store.restore(copy)
    assert store.read(TOPIC, 'config') == 1
    assert store.read(TOPIC, 'evacuate/b') == 1
    assert store.read('keyed.new', 'k') is None


@pytest.mark.parametrize(
    ('start', 'status'), [(0, 200), (3, 200), (4, 410), (8, 410)]
)
async def test_reads_past_the_end(start, status):
    store = make_store()
    store.restore_without(TOPIC, 5)
    response = await read(store, start)
    assert response.status == status
    if status == 200:
        assert struct.unpack_from('>Q', response.body) == (3,)


async def test_a_read_that_waits_gets_410_at_once(autojump_clock):
    store = make_store()
    async with trio.open_nursery() as nursery:

        async def lose_records():
            await trio.sleep(0.3)
            store.restore_without(TOPIC, 5)

        nursery.start_soon(lose_records)
        response = await read(store, 8, wait_ms=5000)
    assert (response.status, trio.current_time()) == (410, 0.3)
