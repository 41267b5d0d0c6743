"""One exchange with one backend server: a call out, an answer in."""

import trio

from ebonystream._ids import Seconds
from ebonystream._timers import Timers
from ebonystream.backend import (
    ABANDONED,
    CUT,
    NOT_SENT,
    Attempt,
    BackendServer,
    Send,
)
from ebonystream.call import Call
from ebonystream.errors import EbonystreamError
from ebonystream.http1 import (
    RECEIVE_BYTES,
    Message,
    ReaderLimits,
    make_response_reader,
)
from ebonystream.link import ConnectionPool
from ebonystream.upstream._message import decode_answer, encode_call

MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 16_777_216
ANSWER_LIMITS = ReaderLimits(
    head_bytes=MAX_HEAD_BYTES, body_bytes=MAX_BODY_BYTES
)

EXCHANGE_FAILURES = (trio.BrokenResourceError, EbonystreamError)


def make_sender(*, pool: ConnectionPool, timers: Timers) -> Send:
    """Make the function that sends a call to one backend server.

    The exchange ends at the call's deadline, or its patience later. A
    connection whose exchange did not end with a whole answer is closed, which
    cancels the call there, and is never used again: a late answer can't reach
    another call.

    Args:
        pool: Where connections come from.
        timers: Tells what is left of the deadline.
    """

    async def send(call: Call, server: BackendServer) -> Attempt:
        with trio.move_on_at(call.deadline + call.patience):
            return await _send(call, server, pool, timers)
        return ABANDONED

    return send


async def _send(
    call: Call, server: BackendServer, pool: ConnectionPool, timers: Timers
) -> Attempt:
    stream = await pool.acquire(server.at)
    if stream is None:
        return NOT_SENT
    remaining = Seconds(call.deadline - timers.now())
    answer: Message | None = None
    try:
        await stream.send_all(encode_call(call, server.at, remaining))
        answer = await _receive(stream)
    except EXCHANGE_FAILURES:
        return CUT
    finally:
        if answer is None or not answer.keep_alive:
            await trio.aclose_forcefully(stream)
    if answer is None:
        return CUT
    if answer.keep_alive:
        await pool.release(server.at, stream)
    return decode_answer(answer)


async def _receive(stream: trio.SocketStream) -> Message | None:
    """Read one whole answer; None where the server left before its end."""
    reader = make_response_reader(ANSWER_LIMITS)
    while True:
        arrived = await stream.receive_some(RECEIVE_BYTES)
        if not arrived:
            return reader.finish()
        reader.feed(bytes(arrived))
        message = reader.next_message()
        if message is not None:
            return message
