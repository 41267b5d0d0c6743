"""One exchange with one backend server: a call out, an answer in."""

import h11
import trio

from ebonystream._http import RECEIVE_BYTES, read_message
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
from ebonystream.upstream._message import decode_answer, encode_call
from ebonystream.upstream._pool import ConnectionPool

MAX_ANSWER_BYTES = 16_777_216

EXCHANGE_FAILURES = (
    trio.BrokenResourceError,
    h11.RemoteProtocolError,
    EbonystreamError,
)


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
    stream = await pool.take(server.at)
    if stream is None:
        return NOT_SENT
    remaining = Seconds(call.deadline - timers.now())
    connection = h11.Connection(our_role=h11.CLIENT)
    whole = False
    try:
        attempt = await _exchange(
            call, stream, connection, encode_call(call, server.at, remaining)
        )
        whole = _is_reusable(connection)
    except EXCHANGE_FAILURES:
        return CUT
    finally:
        if not whole:
            await trio.aclose_forcefully(stream)
    await pool.give_back(server.at, stream)
    return attempt


async def _exchange(
    call: Call,
    stream: trio.SocketStream,
    connection: h11.Connection,
    head: h11.Request,
) -> Attempt:
    parts = [
        connection.send(head),
        connection.send(h11.Data(data=call.body)) if call.body else b'',
        connection.send(h11.EndOfMessage()),
    ]
    await stream.send_all(b''.join(part or b'' for part in parts))
    return await _receive(stream, connection)


async def _receive(
    stream: trio.SocketStream, connection: h11.Connection
) -> Attempt:
    async def receive_more() -> None:
        connection.receive_data(await stream.receive_some(RECEIVE_BYTES))

    message = await read_message(
        connection, receive_more, max_body_bytes=MAX_ANSWER_BYTES
    )
    if message.whole and isinstance(message.head, h11.Response):
        return decode_answer(message.head, b''.join(message.body))
    return CUT


def _is_reusable(connection: h11.Connection) -> bool:
    ours = connection.our_state is h11.DONE
    return ours and connection.their_state is h11.DONE
