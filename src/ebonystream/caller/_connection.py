"""One caller's connection, from its first request to its close."""

from functools import partial

import trio

from ebonystream._ids import Monotonic
from ebonystream._timers import Timers
from ebonystream.call import Answer, Serve, refuse
from ebonystream.caller._message import decode_request, encode_answer
from ebonystream.errors import EbonystreamError
from ebonystream.http1 import Message
from ebonystream.ingress import (
    CallerPresence,
    ConnectionLimits,
    EncodedResponse,
    OpenConnections,
)
from ebonystream.ingress import serve_connection as serve_messages


async def serve_connection(
    stream: trio.abc.Stream,
    *,
    serve: Serve,
    limits: ConnectionLimits,
    timers: Timers,
    connections: OpenConnections,
) -> None:
    """Answer one caller's calls, one after another, until it leaves.

    Args:
        stream: The connection.
        serve: Answers a call.
        limits: What the caller may send.
        timers: Tells the time.
        connections: The open ones; tells when this host leaves.
    """

    async def respond(
        message: Message, arrived: Monotonic, presence: CallerPresence
    ) -> EncodedResponse:
        received = decode_request(message, timers.now())
        answer = await serve(received)
        close = connections.close_after_response or not message.keep_alive
        return EncodedResponse(_spell(timers, answer, close=close), close)

    await serve_messages(
        stream,
        respond=respond,
        encode_error=partial(_spell_refusal, timers),
        limits=limits,
        timers=timers,
        connections=connections,
    )


def _spell_refusal(timers: Timers, error: EbonystreamError) -> bytes:
    return _spell(timers, refuse(error), close=True)


def _spell(timers: Timers, answer: Answer, *, close: bool) -> bytes:
    return encode_answer(answer, time=timers.wall_ms(), close=close)
