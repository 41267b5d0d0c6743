"""Stand-in log service: retention, waiting reads, faults, and HTTP."""

import msgspec
import pytest
import trio

from standins.client import Client, ConnectionLost, fetch
from standins.http import Connections, serve_stream
from standins.logservice import LogHandler
from standins.logstore import (
    LogStore,
    LogStoreSettings,
    Outage,
    RateExceeded,
    ResponseLost,
    ServiceDown,
)

VALUE = msgspec.Raw(b'1')


def make_store(**settings):
    return LogStore(
        lambda: int(trio.current_time() * 1000),
        LogStoreSettings(**settings),
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
        await store.append('s', VALUE)
        await trio.sleep(1)
    assert await read_offsets(store, start, limit=limit) == expected


@pytest.mark.parametrize(
    ('append_after_s', 'expected_wait_s', 'offsets'),
    [(1, 1, [0]), (5, 3, [])],
)
async def test_read_waits_for_append(
    autojump_clock, append_after_s, expected_wait_s, offsets
):
    store = make_store()

    async def append():
        await trio.sleep(append_after_s)
        await store.append('s', VALUE)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(append)
        started_at = trio.current_time()
        page = await read_offsets(store, wait_ms=3000)
        wait_s = trio.current_time() - started_at
        assert wait_s == pytest.approx(expected_wait_s)
    assert page[2] == offsets


@pytest.mark.parametrize(
    ('settings', 'error', 'next_offset'),
    [
        ({'outage': Outage.REFUSE}, ServiceDown, 0),
        ({'lose_answers': 1}, ResponseLost, 1),
        ({'appends_per_second': 0}, RateExceeded, 0),
    ],
)
async def test_append_fails(autojump_clock, settings, error, next_offset):
    store = make_store(**settings)
    with pytest.raises(error):
        await store.append('s', VALUE)
    store.apply_settings(LogStoreSettings())
    assert (await read_offsets(store))[1] == next_offset


async def test_outage_interrupts_waiting_reads(autojump_clock):
    store = make_store()
    with pytest.raises(ExceptionGroup) as raised:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_offsets, store)
            nursery.start_soon(lambda: store.read('s', 0, wait_ms=9000))
            await trio.sleep(1)
            store.apply_settings(LogStoreSettings(outage=Outage.REFUSE))
    assert raised.group_contains(ServiceDown)
    assert trio.current_time() == pytest.approx(1)


async def test_append_times_never_decrease(autojump_clock):
    times = [5, 9, 2, 11]
    store = LogStore(lambda: times[min(clock_index[0], 3)])
    clock_index = [0]
    for index in range(4):
        clock_index[0] = index
        await store.append('s', VALUE)
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
    client_stream, server_stream = trio.testing.memory_stream_pair()
    handler = LogHandler(make_store())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            lambda: serve_stream(
                server_stream,
                handle=handler.handle,
                connections=Connections(),
            ),
        )
        client = Client(client_stream)
        response = await fetch(client, 'POST', '/control', body=control)
        assert response.status == 200
        if expected is None:
            with pytest.raises(ConnectionLost):
                await fetch(client, method, target, body=body)
        else:
            response = await fetch(client, method, target, body=body)
            assert (response.status, response.body) == expected
        nursery.cancel_scope.cancel()
