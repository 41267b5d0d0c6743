"""What is left of one exchange never reaches the next call."""

from functools import partial

import pytest
import trio
from server_fakes import TIMERS, make_call, make_listed

from ebonystream.backend import AttemptKind
from ebonystream.upstream import ConnectionPool, PoolLimits, make_sender

LIMITS = PoolLimits(max_idle=4, idle_timeout=60, connect_timeout=5)
SHORT_S = 0.3


def spell(body, *headers):
    lines = ('HTTP/1.1 200 OK', f'Content-Length: {len(body)}', *headers)
    return '\r\n'.join((*lines, '', body)).encode()


HALF = len(spell('half')) - 2
SENT = {
    b'late': (b'', spell('late')),
    b'half': (spell('half')[:HALF], spell('half')[HALF:]),
    b'junk': (b'junk\r\n\r\n', spell('junk')),
    b'last': (spell('last', 'Connection: close'), spell('last')),
    b'kept': (spell('kept'), b''),
}
"""What a request is sent at once, and before the answer to the next one."""


async def serve(stream):
    """Answer on one connection, the rest of an answer before the next one."""
    rest = b''
    async with stream:
        while request := await stream.receive_some():
            now, later = SENT[request.rpartition(b'\r\n\r\n')[2]]
            await stream.send_all(rest + now)
            rest = later


@pytest.mark.parametrize(
    ('first', 'kind', 'opened'),
    [
        (b'late', AttemptKind.ABANDONED, 2),
        (b'half', AttemptKind.ABANDONED, 2),
        (b'junk', AttemptKind.CUT, 2),
        (b'last', AttemptKind.ANSWERED, 2),
        (b'kept', AttemptKind.ANSWERED, 1),
    ],
)
async def test_no_late_answer_reaches_another_call(first, kind, opened):
    pool = ConnectionPool(LIMITS, TIMERS)
    send = make_sender(pool=pool, timers=TIMERS)
    async with trio.open_nursery() as nursery:
        listen = partial(trio.serve_tcp, serve, 0, host='127.0.0.1')
        (listener,) = await nursery.start(listen)
        port = listener.socket.getsockname()[1]
        server = make_listed('s', port=port)
        call = make_call(first, room=SHORT_S, now=TIMERS.now())
        assert (await send(call, server)).kind is kind
        call = make_call(b'kept', now=TIMERS.now())
        assert (await send(call, server)).answer.body == b'kept'
        assert pool.opened_count == opened
        nursery.cancel_scope.cancel()
