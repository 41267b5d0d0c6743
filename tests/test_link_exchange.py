"""One exchange on a link: only a request's own whole answer reaches it."""

import pytest
import trio
import trio.testing

from ebonystream.http1 import Message
from ebonystream.link import ExchangeFailure, perform_exchange
from ebonystream.link._exchange import _parse_timeout

OWN = b'HTTP/1.1 200 OK\r\nid: a\r\ncontent-length: 2\r\n\r\nhi'
LATE = OWN.replace(b'id: a', b'id: z')
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nid: a\r\ntransfer-encoding: chunked\r\n\r\n'
    b'2\r\nhi\r\n0\r\n\r\n'
)
UNFRAMED = b'HTTP/1.1 200 OK\r\nid: a\r\n\r\nhi'
CLOSE = OWN.replace(b'id: a', b'id: a\r\nconnection: close')


def is_own(headers):
    return (b'id', b'a') in headers


async def exchange(parts, *, end):
    """Exchange with a server that sends parts, and then maybe its end."""
    client, server = trio.testing.memory_stream_pair()
    with trio.move_on_after(5):
        async with trio.open_nursery() as nursery:

            async def serve():
                await server.receive_some(999)
                for part in parts:
                    await server.send_all(part)
                    await trio.sleep(0.01)
                if end:
                    await server.send_eof()

            nursery.start_soon(serve)
            result = await perform_exchange(client, b'GET', is_own)
            nursery.cancel_scope.cancel()
            return result
    return None


@pytest.mark.parametrize(
    ('parts', 'end', 'body', 'usable'),
    [
        ([OWN], False, b'hi', True),
        ([OWN[:20], OWN[20:]], False, b'hi', True),
        ([CHUNKED], False, b'hi', True),
        ([CLOSE], False, b'hi', False),
        # What belongs to another request is skipped.
        ([LATE, OWN], False, b'hi', True),
        ([LATE + OWN], False, b'hi', True),
        ([LATE] * 9, False, None, False),
        ([LATE], True, None, False),
        # What follows a whole answer belongs to nobody.
        ([OWN + LATE], False, b'hi', False),
        ([OWN + b'rubbish'], False, b'hi', False),
        # An answer that ends early is none.
        ([OWN[:-1]], True, None, False),
        ([CHUNKED[:-5]], True, None, False),
        ([b'rubbish'], False, None, False),
        ([b''], True, None, False),
        # One without a length ends with its connection.
        ([UNFRAMED], True, b'hi', False),
    ],
)
async def test_answers(autojump_clock, parts, end, body, usable):
    reply, kept = await exchange(parts, end=end)
    assert kept is usable
    if body is None:
        assert reply is ExchangeFailure.INTERRUPTED
    else:
        assert isinstance(reply, Message)
        assert reply.body == body


@pytest.mark.parametrize(
    ('field', 'idle'),
    [
        (b'timeout=10', 9),
        (b'timeout=10, max=5', 9),
        (b'Timeout=1', 0),
        (b'timeout=0', 0),
        (b'timeout=soon', None),
        (b'max=5', None),
        (b'', None),
    ],
)
def test_keep_alive(field, idle):
    assert _parse_timeout(field) == idle
