"""The log service keeps its rules, with and without HTTP around it."""

import msgspec
import pytest
import trio

from standins.client import Client, ConnectionLost, fetch
from standins.http import Connections, serve_stream
from standins.logservice import LogHandler
from standins.logstore import (
    AnswerLost,
    Conduct,
    LogStore,
    Outage,
    RateExceeded,
    ServiceDown,
)

ONE = msgspec.Raw(b'1')


def make_store(**conduct):
    return LogStore(
        lambda: int(trio.current_time() * 1000),
        Conduct(**conduct),
    )


async def read_offsets(store, start=0, **options):
    page = await store.read('s', start, **options)
    return page.first, page.next, [record.offset for record in page.records]


@pytest.mark.parametrize(
    ('retention_ms', 'start', 'limit', 'expected'),
    [
        (10_000, 0, 9, (0, 4, [0, 1, 2, 3])),
        (10_000, 1, 2, (0, 4, [1, 2])),
        (10_000, 7, 9, (0, 4, [])),
        (2_500, 0, 9, (2, 4, [2, 3])),
        (500, 0, 9, (4, 4, [])),
    ],
)
async def test_read(autojump_clock, retention_ms, start, limit, expected):
    store = make_store(retention_ms=retention_ms)
    for _ in range(4):
        await store.append('s', ONE)
        await trio.sleep(1)
    assert await read_offsets(store, start, limit=limit) == expected


@pytest.mark.parametrize(
    ('append_after_s', 'waited_s', 'offsets'),
    [(1, 1, [0]), (5, 3, [])],
)
async def test_wait(autojump_clock, append_after_s, waited_s, offsets):
    store = make_store()

    async def append():
        await trio.sleep(append_after_s)
        await store.append('s', ONE)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(append)
        begun = trio.current_time()
        page = await read_offsets(store, wait_ms=3000)
        assert trio.current_time() - begun == pytest.approx(waited_s)
    assert page[2] == offsets


@pytest.mark.parametrize(
    ('conduct', 'error', 'kept'),
    [
        ({'outage': Outage.REFUSE}, ServiceDown, 0),
        ({'lose_answers': 1}, AnswerLost, 1),
        ({'appends_per_second': 0}, RateExceeded, 0),
    ],
)
async def test_append_fails(autojump_clock, conduct, error, kept):
    store = make_store(**conduct)
    with pytest.raises(error):
        await store.append('s', ONE)
    store.behave(Conduct())
    assert (await read_offsets(store))[1] == kept


async def test_outage_ends_a_wait(autojump_clock):
    store = make_store()
    with pytest.raises(ExceptionGroup) as caught:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_offsets, store)
            nursery.start_soon(lambda: store.read('s', 0, wait_ms=9000))
            await trio.sleep(1)
            store.behave(Conduct(outage=Outage.REFUSE))
    assert caught.group_contains(ServiceDown)
    assert trio.current_time() == pytest.approx(1)


async def test_time_never_falls(autojump_clock):
    times = [5, 9, 2, 11]
    store = LogStore(lambda: times[min(store_reads[0], 3)])
    store_reads = [0]
    for turn in range(4):
        store_reads[0] = turn
        await store.append('s', ONE)
    page = await store.read('s', 0)
    assert [record.at_ms for record in page.records] == [5, 9, 9, 11]


@pytest.mark.parametrize(
    ('control', 'method', 'target', 'body', 'expected'),
    [
        (b'{}', 'POST', '/streams/s/records', b'{}', (200, b'{"offset":0}')),
        (
            b'{}',
            'POST',
            '/streams/s/records',
            b'{',
            (400, b'Input data was truncated'),
        ),
        (
            b'{}',
            'GET',
            '/streams/s/records?from=x',
            b'',
            (400, b"invalid literal for int() with base 10: 'x'"),
        ),
        (b'{}', 'GET', '/streams/s', b'', (404, b'')),
        (
            b'{}',
            'GET',
            '/streams/s/records?from=3&limit=2&wait_ms=5',
            b'',
            (200, b'{"first":0,"next":0,"records":[]}'),
        ),
        (
            b'{"outage": "refuse"}',
            'GET',
            '/streams/s/records',
            b'',
            (503, b''),
        ),
        (
            b'{"appends_per_second": 0}',
            'POST',
            '/streams/s/records',
            b'1',
            (429, b''),
        ),
        (b'{"outage": "hang_up"}', 'POST', '/streams/s/records', b'1', None),
        (b'{"lose_answers": 1}', 'POST', '/streams/s/records', b'1', None),
    ],
)
async def test_http(autojump_clock, control, method, target, body, expected):
    near, far = trio.testing.memory_stream_pair()
    handler = LogHandler(make_store())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            lambda: serve_stream(
                far,
                handle=handler.handle,
                connections=Connections(),
            ),
        )
        client = Client(near)
        told = await fetch(client, 'POST', '/control', body=control)
        assert told.status == 200
        if expected is None:
            with pytest.raises(ConnectionLost):
                await fetch(client, method, target, body=body)
        else:
            reply = await fetch(client, method, target, body=body)
            assert (reply.status, reply.body) == expected
        nursery.cancel_scope.cancel()
