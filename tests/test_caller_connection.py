"""Requests and responses on an in-memory connection of a caller."""

from contextlib import suppress

import pytest
import trio
import trio.testing

from ebonystream._timers import Timers
from ebonystream.call import CallResponse
from ebonystream.caller import serve_connection
from ebonystream.errors import Outcome
from ebonystream.http1 import ReaderLimits
from ebonystream.ingress import ConnectionLimits, OpenConnections

LIMITS = ConnectionLimits(
    message=ReaderLimits(head_bytes=300, body_bytes=20),
    receive_timeout=1,
    idle_timeout=5,
)
GET = b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n'


async def echo(request):
    await trio.sleep(0.1)
    body = request.target.encode() + b' ' + request.body
    return CallResponse(outcome=Outcome.RAN, status=200, headers=(), body=body)


async def exchange(parts, *, pause=0.0, connections=None):
    """Send parts with pauses between them; return all bytes received."""
    client, server = trio.testing.memory_stream_pair()
    received = []

    async def read():
        while chunk := await client.receive_some():
            received.append(chunk)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read)

        async def serve():
            await serve_connection(
                server,
                handle_request=echo,
                limits=LIMITS,
                timers=Timers(epoch_offset=0),
                connections=connections or OpenConnections(),
            )

        nursery.start_soon(serve)
        with suppress(trio.BrokenResourceError):
            for part in parts:
                await client.send_all(part)
                await trio.sleep(pause)
        if not pause:
            await trio.sleep(0.5)
            await client.send_eof()
    return b''.join(received)


def post(body, *extra):
    head = (b'POST /b HTTP/1.1', b'Host: x', *extra)
    return b'\r\n'.join(head) + b'\r\n\r\n' + body


RESPONSES = {
    'a request without a body': ([GET], b'/a ', 200),
    'a request with a body': (
        [post(b'hello', b'Content-Length: 5')],
        b'/b hello',
        200,
    ),
    'a chunked body': (
        [post(b'5\r\nhello\r\n0\r\n\r\n', b'Transfer-Encoding: chunked')],
        b'/b hello',
        200,
    ),
    'byte by byte': ([bytes((byte,)) for byte in GET], b'/a ', 200),
    'not HTTP': ([b'hello there\r\n\r\n'], b'malformed_request', 400),
    'a field without a colon': (
        [b'GET / HTTP/1.1\r\nHost x\r\n\r\n'],
        b'malformed_request',
        400,
    ),
    'two Content-Length fields': (
        [post(b'', b'Content-Length: 1', b'Content-Length: 2')],
        b'malformed_request',
        400,
    ),
    'Content-Length with a chunked body': (
        [
            post(
                b'0\r\n\r\n',
                b'Content-Length: 3',
                b'Transfer-Encoding: chunked',
            )
        ],
        b'malformed_request',
        400,
    ),
    'an upgrade': (
        [b'GET / HTTP/1.1\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n'],
        b'malformed_request',
        400,
    ),
    'a head above the size limit': (
        [b'GET / HTTP/1.1\r\nA: ' + b'a' * 400 + b'\r\n\r\n'],
        b'head_too_large',
        431,
    ),
    'many header fields': (
        [b'GET / HTTP/1.1\r\n' + b'A: a\r\n' * 60 + b'\r\n'],
        b'head_too_large',
        431,
    ),
    'an endless head': (
        [b'GET / HTTP/1.1\r\nA: ', *[b'a' * 50_000] * 3],
        b'head_too_large',
        431,
    ),
    'a body above the size limit': (
        [post(b'h' * 21, b'Content-Length: 21')],
        b'body_too_large',
        413,
    ),
    'a chunked body above the size limit': (
        [post(b'15\r\n' + b'h' * 21, b'Transfer-Encoding: chunked')],
        b'body_too_large',
        413,
    ),
}


@pytest.mark.parametrize(
    ('parts', 'expected', 'status'), RESPONSES.values(), ids=RESPONSES.keys()
)
async def test_responses(parts, expected, status, autojump_clock):
    received = await exchange(parts)
    assert received.startswith(b'HTTP/1.1 %d ' % status)
    assert expected in received
    assert received.count(b'x-outcome: ') == 1


async def test_receive_timeout(autojump_clock):
    received = await exchange([GET[:9], GET[9:12]], pause=2)
    assert received.startswith(b'HTTP/1.1 408 ')
    assert b'slow_sender' in received


async def test_pipelined_requests_are_served_in_order(autojump_clock):
    received = await exchange([GET + post(b'yes', b'Content-Length: 3') + GET])
    responses = received.split(b'HTTP/1.1')
    bodies = [response.rpartition(b'\r\n')[2] for response in responses]
    assert bodies == [b'', b'/a ', b'/b yes', b'/a ']


async def test_expect_continue(autojump_clock):
    head = post(b'', b'Content-Length: 2', b'Expect: 100-continue')
    received = await exchange([head, b'ok'], pause=0.2)
    assert received.startswith(b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK')


async def test_no_response_after_disconnect_within_request(autojump_clock):
    assert await exchange([GET[:9]]) == b''


async def test_half_closed_connection_gets_response(autojump_clock):
    client, server = trio.testing.memory_stream_pair()

    async def serve():
        await serve_connection(
            server,
            handle_request=echo,
            limits=LIMITS,
            timers=Timers(epoch_offset=0),
            connections=OpenConnections(),
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        await client.send_all(GET)
        await client.send_eof()
        received = b''.join([chunk async for chunk in client])
    assert received.startswith(b'HTTP/1.1 200 ')


async def test_draining_host_responds_and_closes(autojump_clock):
    received = await exchange(
        [GET, GET],
        pause=0.01,
        connections=OpenConnections(close_after_response=True),
    )
    assert received.count(b'HTTP/1.1 200') == 1
    assert b'connection: close' in received
