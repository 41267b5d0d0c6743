"""What callers send, and what they get for it, on an in-memory connection."""

from contextlib import suppress

import pytest
import trio
import trio.testing

from ebonystream._timers import Timers
from ebonystream.call import Answer
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


async def echo(received):
    await trio.sleep(0.1)
    body = received.target.encode() + b' ' + received.body
    return Answer(outcome=Outcome.RAN, status=200, headers=(), body=body)


async def converse(parts, *, pause=0.0, connections=None):
    """Send parts with pauses between them; give all that came back."""
    ours, theirs = trio.testing.memory_stream_pair()
    came = []

    async def read():
        while chunk := await ours.receive_some():
            came.append(chunk)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read)

        async def serve():
            await serve_connection(
                theirs,
                serve=echo,
                limits=LIMITS,
                timers=Timers(epoch_offset=0),
                connections=connections or OpenConnections(),
            )

        nursery.start_soon(serve)
        with suppress(trio.BrokenResourceError):
            for part in parts:
                await ours.send_all(part)
                await trio.sleep(pause)
        if not pause:
            await trio.sleep(0.5)
            await ours.send_eof()
    return b''.join(came)


def post(body, *extra):
    head = (b'POST /b HTTP/1.1', b'Host: x', *extra)
    return b'\r\n'.join(head) + b'\r\n\r\n' + body


ANSWERS = {
    'a request': ([GET], b'/a ', 200),
    'a body': ([post(b'hello', b'Content-Length: 5')], b'/b hello', 200),
    'a chunked body': (
        [post(b'5\r\nhello\r\n0\r\n\r\n', b'Transfer-Encoding: chunked')],
        b'/b hello',
        200,
    ),
    'byte by byte': ([bytes((one,)) for one in GET], b'/a ', 200),
    'not HTTP': ([b'hello there\r\n\r\n'], b'malformed_request', 400),
    'a field without a colon': (
        [b'GET / HTTP/1.1\r\nHost x\r\n\r\n'],
        b'malformed_request',
        400,
    ),
    'two lengths': (
        [post(b'', b'Content-Length: 1', b'Content-Length: 2')],
        b'malformed_request',
        400,
    ),
    'a length and chunks': (
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
    'a long head': (
        [b'GET / HTTP/1.1\r\nA: ' + b'a' * 400 + b'\r\n\r\n'],
        b'head_too_large',
        431,
    ),
    'many fields': (
        [b'GET / HTTP/1.1\r\n' + b'A: a\r\n' * 60 + b'\r\n'],
        b'head_too_large',
        431,
    ),
    'a head without end': (
        [b'GET / HTTP/1.1\r\nA: ', *[b'a' * 50_000] * 3],
        b'head_too_large',
        431,
    ),
    'a long body': (
        [post(b'h' * 21, b'Content-Length: 21')],
        b'body_too_large',
        413,
    ),
    'a long chunked body': (
        [post(b'15\r\n' + b'h' * 21, b'Transfer-Encoding: chunked')],
        b'body_too_large',
        413,
    ),
}


@pytest.mark.parametrize(
    ('parts', 'told', 'status'), ANSWERS.values(), ids=ANSWERS.keys()
)
async def test_answers(parts, told, status, autojump_clock):
    came = await converse(parts)
    assert came.startswith(b'HTTP/1.1 %d ' % status)
    assert told in came
    assert came.count(b'x-outcome: ') == 1


async def test_a_slow_sender_is_told_so(autojump_clock):
    came = await converse([GET[:9], GET[9:12]], pause=2)
    assert came.startswith(b'HTTP/1.1 408 ')
    assert b'slow_sender' in came


async def test_pipelined_requests_are_answered_in_order(autojump_clock):
    came = await converse([GET + post(b'yes', b'Content-Length: 3') + GET])
    bodies = [part.rpartition(b'\r\n')[2] for part in came.split(b'HTTP/1.1')]
    assert bodies == [b'', b'/a ', b'/b yes', b'/a ']


async def test_a_sender_that_waits_is_told_to_go_on(autojump_clock):
    head = post(b'', b'Content-Length: 2', b'Expect: 100-continue')
    came = await converse([head, b'ok'], pause=0.2)
    assert came.startswith(b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK')


async def test_a_caller_that_leaves_midway_gets_nothing(autojump_clock):
    assert await converse([GET[:9]]) == b''


async def test_a_caller_that_sends_no_more_gets_its_answer(autojump_clock):
    ours, theirs = trio.testing.memory_stream_pair()

    async def serve():
        await serve_connection(
            theirs,
            serve=echo,
            limits=LIMITS,
            timers=Timers(epoch_offset=0),
            connections=OpenConnections(),
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        await ours.send_all(GET)
        await ours.send_eof()
        came = b''.join([chunk async for chunk in ours])
    assert came.startswith(b'HTTP/1.1 200 ')


async def test_a_draining_host_answers_and_closes(autojump_clock):
    came = await converse(
        [GET, GET],
        pause=0.01,
        connections=OpenConnections(close_after_response=True),
    )
    assert came.count(b'HTTP/1.1 200') == 1
    assert b'connection: close' in came
