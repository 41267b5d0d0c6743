"""The remainder of one exchange is never taken for the response to another."""

from functools import partial

import pytest
import trio
from server_fakes import TIMERS, make_call, make_listed_server

from ebonystream.backend import AttemptKind
from ebonystream.upstream import ConnectionPool, PoolLimits, make_sender

LIMITS = PoolLimits(max_idle=4, idle_timeout=60, connect_timeout=5)
SHORT_TIME_LIMIT_S = 0.3
NOT_RUN = 'X-Not-Run: true'


def encode_response(body, *headers):
    lines = ('HTTP/1.1 200 OK', f'Content-Length: {len(body)}', *headers)
    return '\r\n'.join((*lines, '', body)).encode()


PARTIAL_LENGTH = len(encode_response('half')) - 2
REPLIES = {
    b'late': (b'', encode_response('late')),
    b'half': (
        encode_response('half')[:PARTIAL_LENGTH],
        encode_response('half')[PARTIAL_LENGTH:],
    ),
    b'junk': (b'junk\r\n\r\n', encode_response('junk')),
    b'last': (
        encode_response('last', 'Connection: close'),
        encode_response('last'),
    ),
    b'more': (
        encode_response('more') + encode_response('half')[:PARTIAL_LENGTH],
        encode_response('half')[PARTIAL_LENGTH:],
    ),
    b'twin': (encode_response('twin') * 2, b''),
    b'kept': (encode_response('kept'), b''),
    b'shed': (
        encode_response('', NOT_RUN).replace(b'200 OK', b'503 Unavailable'),
        b'',
    ),
    b'done': (encode_response('done', NOT_RUN), b''),
    b'away': (
        encode_response('', NOT_RUN).replace(b'200 OK', b'302 Found'),
        b'',
    ),
}
"""By request body: bytes sent at once, and before the next response."""


async def serve(stream):
    """Serve one connection, and send late bytes before the next response."""
    late = b''
    async with stream:
        while request := await stream.receive_some():
            at_once, remainder = REPLIES[request.rpartition(b'\r\n\r\n')[2]]
            await stream.send_all(late + at_once)
            late = remainder


@pytest.mark.parametrize(
    ('first_body', 'kind', 'opened_count'),
    [
        (b'late', AttemptKind.ABANDONED, 2),
        (b'half', AttemptKind.ABANDONED, 2),
        (b'junk', AttemptKind.INTERRUPTED, 2),
        (b'last', AttemptKind.ANSWERED, 2),
        # A connection with bytes that nobody asked for is not used again.
        (b'more', AttemptKind.ANSWERED, 2),
        (b'twin', AttemptKind.ANSWERED, 2),
        (b'kept', AttemptKind.ANSWERED, 1),
        (b'shed', AttemptKind.REFUSED, 1),
        # A success that denies that the call ran contradicts itself.
        (b'done', AttemptKind.INTERRUPTED, 1),
        (b'away', AttemptKind.INTERRUPTED, 1),
    ],
)
async def test_no_late_response_reaches_another_call(
    first_body, kind, opened_count
):
    pool = ConnectionPool(LIMITS, TIMERS)
    send = make_sender(pool=pool, timers=TIMERS)
    async with trio.open_nursery() as nursery:
        listen = partial(trio.serve_tcp, serve, 0, host='127.0.0.1')
        (listener,) = await nursery.start(listen)
        port = listener.socket.getsockname()[1]
        server = make_listed_server('s', port=port)
        call = make_call(
            first_body, timeout=SHORT_TIME_LIMIT_S, now=TIMERS.now()
        )
        assert (await send(call, server)).kind is kind
        call = make_call(b'kept', now=TIMERS.now())
        assert (await send(call, server)).response.body == b'kept'
        assert pool.opened_count == opened_count
        nursery.cancel_scope.cancel()
