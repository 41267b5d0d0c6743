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
from ebonystream.link import (
    ConnectionPool,
    ExchangeFailure,
    ResponseBuffers,
    match_any,
    perform_exchange,
)
from ebonystream.upstream._message import decode_response, encode_call


def make_sender(*, pool: ConnectionPool, timers: Timers) -> Send:
    """Return a function that sends a call to one backend server.

    The exchange is abandoned at the end of the call's grace period, which
    follows its deadline. A connection without a complete response is closed,
    which cancels the call at the server. It is never reused, nor is one with
    bytes after its response, so that a late response can't be taken for that to
    another call.

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
    encoded = encode_call(call, server.at, remaining)
    usable = False
    try:
        with ResponseBuffers().open_share() as share:
            result, usable = await perform_exchange(
                stream, encoded, match_any, share
            )
    finally:
        if not usable:
            await trio.aclose_forcefully(stream)
    if usable:
        await pool.release(server.at, stream)
    if isinstance(result, ExchangeFailure):
        return INTERRUPTED
    return decode_response(result)
