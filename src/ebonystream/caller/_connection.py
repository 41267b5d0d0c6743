"""One caller's connection, from its first request to its close."""

import attrs
import trio

from ebonystream._ids import Seconds
from ebonystream._timers import Timers
from ebonystream.call import Answer, Serve, refuse
from ebonystream.caller._message import decode_request, encode_answer
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.http1 import (
    RECEIVE_BYTES,
    Message,
    Reader,
    ReaderLimits,
    make_request_reader,
)

GO_ON = b'HTTP/1.1 100 Continue\r\n\r\n'


@attrs.frozen(kw_only=True)
class CallerLimits:
    """What a caller may send, and how slowly.

    Attributes:
        message: The longest request.
        receive: How long one request may take to arrive, in seconds.
        idle: How long a connection may stay without a request, in seconds.
    """

    message: ReaderLimits
    receive: Seconds
    idle: Seconds


@attrs.define
class Draining:
    """Whether this host is leaving, and which connections wait for nothing.

    Attributes:
        begun: Whether answers now close their connections.
        over: Whether no further request is waited for.
        waiting: The connections that wait for a next request.
    """

    begun: bool = False
    over: bool = False
    waiting: set[trio.CancelScope] = attrs.field(factory=set)

    def close_waiting(self) -> None:
        """Close each connection on which no request has begun."""
        self.over = True
        for scope in list(self.waiting):
            scope.cancel()


@attrs.define
class _Conversation:
    stream: trio.abc.Stream
    reader: Reader
    limits: CallerLimits
    timers: Timers
    draining: Draining


async def serve_connection(
    stream: trio.abc.Stream,
    *,
    serve: Serve,
    limits: CallerLimits,
    timers: Timers,
    draining: Draining,
) -> None:
    """Answer one caller's requests, one after another, until it leaves.

    Args:
        stream: The connection.
        serve: Answers a request.
        limits: What the caller may send.
        timers: Tells the time.
        draining: Tells when this host leaves.
    """
    reader = make_request_reader(limits.message)
    talk = _Conversation(stream, reader, limits, timers, draining)
    async with stream:
        try:
            await _converse(talk, serve)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


async def _converse(talk: _Conversation, serve: Serve) -> None:
    try:
        while await _wait_for_request(talk):
            message = await _receive(talk)
            if message is None:
                return
            received = decode_request(message, talk.timers.now())
            answer = await serve(received)
            close = talk.draining.begun or not message.keep_alive
            await _send(talk, answer, close=close)
            if close:
                return
    except EbonystreamError as error:
        await _send(talk, refuse(error), close=True)


async def _wait_for_request(talk: _Conversation) -> bool:
    """Wait for the first byte of a request; False where none comes."""
    if talk.reader.is_begun():
        return True
    if talk.draining.over:
        return False
    with trio.move_on_after(talk.limits.idle) as scope:
        talk.draining.waiting.add(scope)
        try:
            arrived = await talk.stream.receive_some(RECEIVE_BYTES)
        finally:
            talk.draining.waiting.discard(scope)
        talk.reader.feed(bytes(arrived))
        return bool(arrived)
    return False


async def _receive(talk: _Conversation) -> Message | None:
    """Take in one whole request; None where the caller left."""
    message = talk.reader.take()
    if message is not None:
        return message
    with trio.move_on_after(talk.limits.receive):
        return await _receive_parts(talk)
    raise EbonystreamError(ErrorKind.SLOW_SENDER)


async def _receive_parts(talk: _Conversation) -> Message | None:
    told_to_go_on = False
    message: Message | None = None
    while message is None:
        if talk.reader.waits_for_continue() and not told_to_go_on:
            await talk.stream.send_all(GO_ON)
            told_to_go_on = True
        arrived = await talk.stream.receive_some(RECEIVE_BYTES)
        if not arrived:
            return None
        talk.reader.feed(bytes(arrived))
        message = talk.reader.take()
    return message


async def _send(talk: _Conversation, answer: Answer, *, close: bool) -> None:
    time = talk.timers.wall_ms()
    await talk.stream.send_all(encode_answer(answer, time=time, close=close))
