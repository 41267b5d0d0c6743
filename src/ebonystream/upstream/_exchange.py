"""One exchange with a backend server: sends a call, receives the response."""

import trio

from ebonystream._ids import Seconds
from ebonystream._timers import Timers
from ebonystream.backend import (
    ABANDONED,
    INTERRUPTED,
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
from ebonystream.upstream._message import decode_response, encode_call

MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 16_777_216
RESPONSE_LIMITS = ReaderLimits(
    head_bytes=MAX_HEAD_BYTES, body_bytes=MAX_BODY_BYTES
)

EXCHANGE_FAILURES = (trio.BrokenResourceError, EbonystreamError)


def make_sender(*, pool: ConnectionPool, timers: Timers) -> Send:
    """Return a function that sends a call to one backend server.

    The exchange is abandoned at the end of the call's grace period, which
    follows its deadline. A connection without a complete response is closed,
    which cancels the call at the server. It is never reused, so a late response
    can't be taken for that to another call.

    Args:
        pool: Pool of connections to the servers.
        timers: Clock that the time left to the deadline is computed from.
    """

    async def send(call: Call, server: BackendServer) -> Attempt:
        with trio.move_on_at(call.deadline + call.grace_period):
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
    response: Message | None = None
    try:
        await stream.send_all(encode_call(call, server.at, remaining))
        response = await _receive(stream)
    except EXCHANGE_FAILURES:
        return INTERRUPTED
    finally:
        if response is None or not response.keep_alive:
            await trio.aclose_forcefully(stream)
    if response is None:
        return INTERRUPTED
    if response.keep_alive:
        await pool.release(server.at, stream)
    return decode_response(response)


async def _receive(stream: trio.SocketStream) -> Message | None:
    """Read one response; None if the server closed before its end."""
    reader = make_response_reader(RESPONSE_LIMITS)
    while True:
        data = await stream.receive_some(RECEIVE_BYTES)
        if not data:
            return reader.finish()
        reader.feed(bytes(data))
        message = reader.next_message()
        if message is not None:
            return message
