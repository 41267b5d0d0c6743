"""Pipelined requests: refused, answered early, and left by their caller."""

import weakref
from contextlib import suppress

import pytest
import trio
import trio.testing

from ebonystream._timers import Timers
from ebonystream.http1 import ReaderLimits, encode_response
from ebonystream.ingress import (
    ConnectionLimits,
    EncodedResponse,
    MemoryBudget,
    OpenConnections,
    bound_unread_bytes,
    serve_connection,
)
from ebonystream.ingress._account import CONNECTION_BYTES

KIB, MIB = 1024, 1_048_576
LIMITS = ConnectionLimits(
    message=ReaderLimits(head_bytes=999, body_bytes=MIB),
    receive_timeout=20,
    idle_timeout=60,
    may_overlap=lambda message: True,
)


def make_request(path, size=0, announced=None):
    head = b'POST /%s HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n'
    return head % (path.encode(), announced or size) + bytes(size)


def make_serve(connections, respond):
    async def serve(stream):
        await serve_connection(
            stream,
            respond=respond,
            encode_error=lambda error: encode_response(
                error.answer.status, (), error.kind.value.encode()
            ),
            limits=LIMITS,
            timers=Timers(epoch_offset=0),
            connections=connections,
        )

    return serve


async def test_nothing_runs_behind_a_refused_request(autojump_clock):
    # The request behind a refused one was started, and its response was sent
    # as the response to the refused one.
    connections = OpenConnections(budget=MemoryBudget(MIB))
    other = connections.budget.book.open(lambda: None)
    connections.budget.add_serving(other, MIB - 2 * CONNECTION_BYTES - 9 * KIB)
    client, server = trio.testing.memory_stream_pair()
    received = bytearray()

    async def respond(message, arrived_at, presence):
        await trio.sleep(int(message.target[2:]))
        content = encode_response(200, (), message.target)
        return EncodedResponse(content, close=False)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(make_serve(connections, respond), server)
        await client.send_all(b''.join(map(make_request, ('a1', 'b2', 'c3'))))
        await trio.testing.wait_all_tasks_blocked()
        # What is malformed keeps the requests before it from being counted.
        refused = make_request('d1', 20 * KIB) + make_request('e1', 20 * KIB)
        await client.send_all(refused + b'no request\r\n\r\n')
        with suppress(trio.BrokenResourceError):
            async for part in client:
                received.extend(part)
    bodies = [part.split(b'\r\n')[-1] for part in received.split(b'HTTP/1.1')]
    assert bodies[1:] == [b'/a1', b'/b2', b'/c3', b'memory_short']


@pytest.mark.parametrize('before', [b'', make_request('slow')])
async def test_an_answered_request_is_not_held(before):
    # Guards against bodies that are neither counted nor freed while their
    # clients do not take the responses, or wait for earlier ones.
    held = []

    async def respond(message, arrived_at, presence):
        if message.target == b'/slow':
            await trio.sleep_forever()
        held.append(weakref.ref(message))
        await trio.lowlevel.checkpoint()
        return EncodedResponse(encode_response(200, (), b''), close=False)

    client, server = trio.testing.lockstep_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(make_serve(OpenConnections(), respond), server)
        await client.send_all(before + make_request('a', 50 * KIB))
        await trio.testing.wait_all_tasks_blocked()
        assert [reference() for reference in held] == [None]
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    'behind',
    [make_request('b', 9, announced=99), make_request('b') * 20, b'?\r\n\r\n'],
    ids=['part of a body', 'more than are served at once', 'malformed'],
)
async def test_disconnect_behind_unread_bytes(behind):
    # Guards against requests that run on for a caller that has left, since
    # what follows them is not read.
    cancelled = trio.Event()

    async def respond(message, arrived_at, presence):
        with presence.cancel_on_disconnect():
            await trio.sleep_forever()
        cancelled.set()
        return EncodedResponse(encode_response(200, (), b''), close=False)

    serve = make_serve(OpenConnections(), respond)
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        client = await trio.open_tcp_stream('127.0.0.1', port)
        await client.send_all(make_request('a'))
        await trio.sleep(0.1)
        await client.send_all(behind)
        await trio.sleep(0.1)
        assert not cancelled.is_set()
        await client.aclose()
        with trio.fail_after(3):
            await cancelled.wait()
        nursery.cancel_scope.cancel()


async def test_unread_bytes_do_not_stay_counted(autojump_clock):
    # Guards against a count that is kept after the bytes were read, until
    # enough requests are handled again.
    connections = OpenConnections()
    unread = MIB
    connections.budget.book.open(lambda: None, count_unread=lambda: unread)
    connections.active_requests = 8
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            bound_unread_bytes, connections, Timers(epoch_offset=0)
        )
        await trio.sleep(0.7)
        assert connections.budget.book.used_bytes == CONNECTION_BYTES + MIB
        connections.active_requests = 7
        await trio.sleep(1)
        unread, connections.active_requests = 0, 0
        await trio.sleep(1)
        assert connections.budget.book.used_bytes == CONNECTION_BYTES
        nursery.cancel_scope.cancel()


async def test_an_endless_field_behind_a_request_is_refused(autojump_clock):
    # The error was lost when it was found while a request was handled; the
    # client got 408 after the whole receive timeout.
    connections = OpenConnections()
    received = bytearray()

    async def respond(message, arrived_at, presence):
        await trio.sleep(1)
        return EncodedResponse(encode_response(200, (), b''), close=False)

    client, server = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(make_serve(connections, respond), server)
        await client.send_all(make_request('a'))
        await trio.testing.wait_all_tasks_blocked()
        await client.send_all(b'GET / HTTP/1.1\r\na: ' + bytes(b'a' * 80_000))
        while len(received.split(b'HTTP/1.1')) < 3:
            received.extend(await client.receive_some())
        nursery.cancel_scope.cancel()
    assert received.endswith(b'head_too_large')
    assert trio.current_time() < 3


async def test_a_small_response_that_is_not_taken_makes_room(autojump_clock):
    # Guards against clients that occupy all connections for ever with small
    # responses that they do not read.
    connections = OpenConnections(limit=1)
    served = []

    async def respond(message, arrived_at, presence):
        await trio.lowlevel.checkpoint()
        served.append(message.target)
        return EncodedResponse(encode_response(200, (), b''), close=False)

    serve = make_serve(connections, respond)
    async with trio.open_nursery() as nursery:
        for name in ('first', 'second'):
            client, server = trio.testing.lockstep_stream_pair()
            nursery.start_soon(serve, server)
            with suppress(trio.BrokenResourceError):
                await client.send_all(make_request(name))
            await trio.sleep(2)
        nursery.cancel_scope.cancel()
    assert served == [b'/first', b'/second']
