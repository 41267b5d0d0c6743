"""Bytes without end: the exchange ends, and its memory is bounded."""

import gc
import tracemalloc
from itertools import chain, repeat

import pytest
import trio
import trio.testing
from test_link_exchange import CHUNKED, OWN, matches

from ebonystream.errors import EbonystreamError
from ebonystream.http1 import ReaderLimits, make_request_reader
from ebonystream.link import (
    ExchangeFailure,
    ResponseBuffers,
    perform_exchange,
)

MIB = 1_048_576
MAX_SENT = 64 * MIB
PART = b'x' * 65_536
HEAD = b'HTTP/1.1 200 OK\r\nid: a\r\n'
CHUNKED_HEAD = HEAD + b'transfer-encoding: chunked\r\n\r\n'

ENDLESS = {
    'status line': (b'HTTP/1.1 200 ', PART),
    'garbage': (b'', PART),
    'name of a field': (HEAD, PART),
    'value of a field': (HEAD + b'y: ', PART),
    'fields': (HEAD, b'y: z\r\n' * 9000),
    'body without a length': (HEAD + b'\r\n', PART),
    'body with a huge length': (
        HEAD + b'content-length: 99999999999\r\n\r\n',
        PART,
    ),
    'chunks': (CHUNKED_HEAD, b'1\r\nx\r\n' * 9000),
    'one chunk': (CHUNKED_HEAD + b'ffffffff\r\n', PART),
    'extension of a chunk': (CHUNKED_HEAD + b'1;', PART),
    'value of a trailer': (CHUNKED_HEAD + b'0\r\ny: ', PART),
    'trailers': (CHUNKED_HEAD + b'0\r\n', b'y: z\r\n' * 9000),
    'informational responses': (
        b'',
        b'HTTP/1.1 100 Continue\r\n\r\n' * 2600,
    ),
    'responses to others': (
        b'',
        b'HTTP/1.1 200 OK\r\nid: z\r\ncontent-length: 0\r\n\r\n' * 1200,
    ),
}


async def receive_endless(prefix, part, buffers, *, before=()):
    """Exchange with a server that sends until its peer closes.

    Returns the result, whether the connection is usable, and the bytes sent.
    """
    client, server = trio.testing.memory_stream_pair()
    sent = 0

    async def serve():
        nonlocal sent
        await server.receive_some(999)
        for data in chain(before, (prefix,), repeat(part)):
            await server.send_all(data)
            await trio.testing.wait_all_tasks_blocked()
            sent += len(data)
            assert sent < MAX_SENT

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        with buffers.open_share() as share:
            result, usable = await perform_exchange(
                client, b'GET', matches, share
            )
        nursery.cancel_scope.cancel()
    return result, usable, sent


@pytest.mark.parametrize('kind', ENDLESS)
async def test_endless_bytes_end_the_exchange(autojump_clock, kind):
    buffers = ResponseBuffers(8 * MIB)
    result, usable, sent = await receive_endless(*ENDLESS[kind], buffers)
    assert isinstance(result, ExchangeFailure)
    assert not usable
    assert sent <= 9 * MIB
    assert buffers.peak_bytes <= 9 * MIB
    assert buffers.used_bytes == 0


@pytest.mark.parametrize('kind', ['body without a length', 'chunks'])
async def test_endless_bytes_are_reported_as_oversize(autojump_clock, kind):
    buffers = ResponseBuffers(8 * MIB)
    result, _, _ = await receive_endless(*ENDLESS[kind], buffers)
    assert result is ExchangeFailure.OVERSIZE


@pytest.mark.parametrize('kind', ENDLESS)
@pytest.mark.parametrize('answer', [OWN, CHUNKED])
async def test_endless_bytes_after_a_response(autojump_clock, kind, answer):
    """The response is delivered; its connection is not used again."""
    prefix, part = ENDLESS[kind]
    buffers = ResponseBuffers(8 * MIB)
    result, usable, _ = await receive_endless(
        b'', part, buffers, before=(answer + prefix + part,)
    )
    assert result.body == b'hi'
    assert not usable


@pytest.mark.parametrize('endless', [1, 4, 60])
async def test_memory_of_all_exchanges_is_bounded(autojump_clock, endless):
    """Small responses are still received beside endless ones."""
    buffers = ResponseBuffers(4 * MIB)
    results = []

    async def receive():
        result, _, _ = await receive_endless(
            *ENDLESS['body without a length'], buffers
        )
        results.append(result)

    async def receive_small():
        client, server = trio.testing.memory_stream_pair()
        await server.send_all(OWN)
        with buffers.open_share() as share:
            result, _ = await perform_exchange(client, b'GET', matches, share)
        assert result.body == b'hi'

    async with trio.open_nursery() as nursery:
        for _ in range(endless):
            nursery.start_soon(receive)
            nursery.start_soon(receive_small)
    assert results == [ExchangeFailure.OVERSIZE] * endless
    assert buffers.peak_bytes <= 8 * MIB
    assert (buffers.used_bytes, buffers.exchange_count) == (0, 0)


@pytest.mark.parametrize('size', [1, 65_536, 3 * MIB])
async def test_large_responses_are_received(autojump_clock, size):
    client, server = trio.testing.memory_stream_pair()
    buffers = ResponseBuffers(4 * MIB)
    head = HEAD + b'content-length: %d\r\n\r\n' % size
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.send_all, head + b'x' * size)
        with buffers.open_share() as share:
            result, usable = await perform_exchange(
                client, b'GET', matches, share
            )
    assert (len(result.body), usable) == (size, True)


@pytest.mark.parametrize(
    'part',
    [
        b'0\r\ny: ' + PART,
        b'0\r\n' + b'y: z\r\n' * 9000,
        b'1;' + PART,
    ],
)
def test_endless_end_of_a_request(part):
    """A caller's body that never ends is refused too."""
    limits = ReaderLimits(head_bytes=16_384, body_bytes=MIB)
    reader = make_request_reader(limits)
    head = b'POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n'
    rest = part[-60_000:]
    with pytest.raises(EbonystreamError):
        for data in (head, part, *repeat(rest, 200)):
            reader.feed(data)


async def test_memory_is_freed_without_a_garbage_collection(autojump_clock):
    """Parser and collector refer to one another."""
    buffers = ResponseBuffers(4 * MIB)
    gc.disable()
    tracemalloc.start()
    try:
        for _ in range(10):
            await receive_endless(*ENDLESS['body without a length'], buffers)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()
    assert peak < 12 * MIB
