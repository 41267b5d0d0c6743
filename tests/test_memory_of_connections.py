"""Connections whose clients stall, read slowly or send ahead, in one process."""

from contextlib import suppress

import pytest
import trio
import trio.lowlevel
import trio.testing

from ebonystream._timers import Timers
from ebonystream.http1 import ReaderLimits, encode_response
from ebonystream.ingress import (
    ConnectionLimits,
    EncodedResponse,
    MemoryBudget,
    OpenConnections,
    serve_connection,
)
from ebonystream.ingress._account import CONNECTION_BYTES

KIB, MIB = 1024, 1_048_576
LIMITS = ConnectionLimits(
    message=ReaderLimits(head_bytes=999, body_bytes=MIB),
    receive_timeout=20,
    idle_timeout=60,
)
HEAD = b'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n'
BODY = 300 * KIB
GET = b'GET / HTTP/1.1\r\nhost: h\r\n\r\n'


def encode_error(error):
    return encode_response(error.answer.status, (), b'')


def make_serve(connections, respond):
    async def serve(stream):
        await serve_connection(
            stream,
            respond=respond,
            encode_error=encode_error,
            limits=LIMITS,
            timers=Timers(epoch_offset=0),
            connections=connections,
        )

    return serve


async def respond_ok(message, arrived_at, presence):
    await trio.lowlevel.checkpoint()
    return EncodedResponse(encode_response(200, (), b''), close=False)


async def request(nursery, serve, *parts, pause_s=0.0):
    """Send a request in parts; return the status, None where none came."""
    client, server = trio.testing.memory_stream_pair()
    nursery.start_soon(serve, server)
    with suppress(trio.BrokenResourceError):
        for part in parts:
            await client.send_all(part)
            await trio.sleep(pause_s)
    received = await client.receive_some()
    return int(received.split(b' ')[1]) if received else None


@pytest.mark.parametrize(
    ('sent', 'pause_s', 'wait_s', 'statuses'),
    [
        # It made no progress, so that it gives way.
        (300 * KIB, 0, 3, (408, 200)),
        # It makes progress; the other is refused.
        (300 * KIB, 0, 0.1, (408, 503)),
        # It sends less than the minimum rate.
        (30 * KIB, 0.3, 5, (408, 200)),
        # It sends steadily.
        (630 * KIB, 0.2, 1, (408, 503)),
    ],
)
async def test_a_stalled_request_gives_way(
    autojump_clock, sent, pause_s, wait_s, statuses
):
    # Guards against stalled requests that keep others out, and steady ones that
    # are ended for others.
    connections = OpenConnections(budget=MemoryBudget(MIB))
    serve = make_serve(connections, respond_ok)
    results = {}

    async def send(name, *parts, pause_s=0):
        results[name] = await request(nursery, serve, *parts, pause_s=pause_s)

    head = HEAD % (700 * KIB)
    pieces = 30 if pause_s else 1
    parts = [head, *[bytes(sent // pieces)] * pieces]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lambda: send('first', *parts, pause_s=pause_s))
        await trio.sleep(wait_s)
        await send('second', HEAD % (500 * KIB) + bytes(500 * KIB))
        await trio.sleep(LIMITS.receive_timeout)
        nursery.cancel_scope.cancel()
    assert (results['first'], results['second']) == statuses
    assert connections.budget.book.used_bytes == 0


async def test_bytes_of_an_open_connection_are_released(autojump_clock):
    # Guards against requests and responses that stay counted, or held, until
    # their connection ends.
    connections = OpenConnections()

    async def respond(message, arrived_at, presence):
        await trio.lowlevel.checkpoint()
        content = encode_response(200, (), message.body)
        return EncodedResponse(content, close=False)

    serve = make_serve(connections, respond)
    async with trio.open_nursery() as nursery:
        client, server = trio.testing.memory_stream_pair()
        nursery.start_soon(serve, server)
        for size in (900 * KIB, 10, 900 * KIB):
            await client.send_all(HEAD % size + bytes(size))
            await trio.testing.wait_all_tasks_blocked()
            assert len(await client.receive_some()) > size
            assert connections.budget.book.used_bytes == CONNECTION_BYTES
        nursery.cancel_scope.cancel()


async def test_clients_that_do_not_read(autojump_clock):
    # Guards against responses that are held for clients that do not take them.
    connections = OpenConnections(budget=MemoryBudget(4 * MIB))
    budget = connections.budget

    async def respond(message, arrived_at, presence):
        await trio.lowlevel.checkpoint()
        content = encode_response(200, (), bytes(MIB))
        return EncodedResponse(content, close=False)

    serve = make_serve(connections, respond)
    async with trio.open_nursery() as nursery:
        clients = []
        for _ in range(20):
            client, server = trio.testing.lockstep_stream_pair()
            clients.append(client)
            nursery.start_soon(serve, server)
            await client.send_all(GET)
            await trio.sleep(1)
            assert budget.book.used_bytes <= budget.max_bytes
        received = 0
        while received < MIB:
            received += len(await clients[-1].receive_some())
        nursery.cancel_scope.cancel()
    assert budget.closings.closed_connections >= 16


async def test_input_that_waits_while_requests_are_handled():
    # Guards against bytes that the kernel holds for the clients of a host.
    connections = OpenConnections(budget=MemoryBudget(7_700_000))
    budget = connections.budget
    handled = trio.Semaphore(0)

    async def respond(message, arrived_at, presence):
        handled.release()
        await trio.sleep_forever()

    serve = make_serve(connections, respond)
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]

        async def flood():
            stream = await trio.open_tcp_stream('127.0.0.1', port)
            try:
                await stream.send_all(GET + HEAD % BODY + bytes(BODY))
            except trio.BrokenResourceError:
                await stream.aclose()

        for _ in range(20):
            nursery.start_soon(flood)
        with trio.fail_after(10):
            for _ in range(20):
                await handled.acquire()
            await trio.sleep(0.3)
            budget.count_unread()
        assert budget.book.used_bytes <= budget.max_bytes
        assert budget.closings.closed_connections > 0
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('sent', 'closed'),
    [
        # The one that has been idle for longest.
        ([b'', b'', b''], 0),
        # One that was refused, before those that are idle.
        ([b'', b'', b'no request\r\n\r\n'], 2),
        ([b'', HEAD % 9, b''], 0),
        # The slowest request, where none is idle.
        ([HEAD % 9, HEAD % 9 + b'1', HEAD % 9 + b'123'], 0),
    ],
)
async def test_which_connection_makes_room(autojump_clock, sent, closed):
    # Guards against new connections that close those of ordinary clients.
    connections = OpenConnections(limit=len(sent))
    serve = make_serve(connections, respond_ok)
    async with trio.open_nursery() as nursery:
        clients = []
        for data in (*sent, GET):
            client, server = trio.testing.memory_stream_pair()
            clients.append(client)
            nursery.start_soon(serve, server)
            if data:
                await client.send_all(data)
            await trio.sleep(0.6)
        assert (await clients[-1].receive_some()).startswith(b'HTTP/1.1 200')
        ended = []
        for number, client in enumerate(clients[:-1]):
            with trio.move_on_after(0.1):
                while await client.receive_some():
                    await trio.lowlevel.checkpoint()
                ended.append(number)
        nursery.cancel_scope.cancel()
    assert ended == [closed]
