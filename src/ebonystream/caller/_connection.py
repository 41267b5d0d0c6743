"""One caller's connection, from its first request to its close."""

import attrs
import h11
import trio

from ebonystream._http import RECEIVE_BYTES, read_message
from ebonystream._ids import Seconds
from ebonystream._timers import Timers
from ebonystream.call import Answer, Received, Serve, refuse
from ebonystream.caller._message import decode_request, encode_answer
from ebonystream.errors import EbonystreamError, ErrorKind

HEAD_TOO_LARGE_STATUS = 431


@attrs.frozen(kw_only=True)
class CallerLimits:
    """What a caller may send, and how slowly.

    Attributes:
        head_bytes: The longest head of a request.
        body_bytes: The longest body of a request.
        receive: How long one request may take to arrive, in seconds.
        idle: How long a connection may stay without a request, in seconds.
    """

    head_bytes: int
    body_bytes: int
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
    parser: h11.Connection
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
    parser = h11.Connection(
        our_role=h11.SERVER, max_incomplete_event_size=limits.head_bytes
    )
    talk = _Conversation(stream, parser, limits, timers, draining)
    async with stream:
        try:
            await _converse(talk, serve)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


async def _converse(talk: _Conversation, serve: Serve) -> None:
    while await _wait_for_request(talk):
        try:
            received = await _receive(talk)
        except EbonystreamError as error:
            await _send(talk, refuse(error), close=True)
            return
        if received is None:
            return
        await _send(talk, await serve(received), close=talk.draining.begun)
        if talk.parser.our_state is not h11.DONE:
            return
        if talk.parser.their_state is not h11.DONE:
            return
        talk.parser.start_next_cycle()


async def _wait_for_request(talk: _Conversation) -> bool:
    """Wait for the first byte of a request; False where none comes."""
    if talk.parser.trailing_data[0]:
        return True
    if talk.draining.over:
        return False
    with trio.move_on_after(talk.limits.idle) as scope:
        talk.draining.waiting.add(scope)
        try:
            arrived = await talk.stream.receive_some(RECEIVE_BYTES)
        finally:
            talk.draining.waiting.discard(scope)
        talk.parser.receive_data(bytes(arrived))
        return bool(arrived)
    return False


async def _receive(talk: _Conversation) -> Received | None:
    """Take in one whole request; None where the caller left."""
    with trio.move_on_after(talk.limits.receive):
        try:
            return await _receive_parts(talk)
        except h11.RemoteProtocolError as error:
            raise _name_error(error) from error
    raise EbonystreamError(ErrorKind.SLOW_SENDER)


async def _receive_parts(talk: _Conversation) -> Received | None:
    async def receive_more() -> None:
        await _receive_more(talk)

    message = await read_message(
        talk.parser, receive_more, max_body_bytes=talk.limits.body_bytes
    )
    if message.whole and isinstance(message.head, h11.Request):
        body = b''.join(message.body)
        return decode_request(message.head, body, talk.timers.now())
    return None


async def _receive_more(talk: _Conversation) -> None:
    if talk.parser.they_are_waiting_for_100_continue:
        go_on = h11.InformationalResponse(status_code=100, headers=[])
        await talk.stream.send_all(talk.parser.send(go_on) or b'')
    arrived = await talk.stream.receive_some(RECEIVE_BYTES)
    talk.parser.receive_data(bytes(arrived))


def _name_error(error: h11.RemoteProtocolError) -> EbonystreamError:
    if error.error_status_hint == HEAD_TOO_LARGE_STATUS:
        return EbonystreamError(ErrorKind.HEAD_TOO_LARGE, str(error))
    return EbonystreamError(ErrorKind.MALFORMED_REQUEST, str(error))


async def _send(talk: _Conversation, answer: Answer, *, close: bool) -> None:
    parser = talk.parser
    if parser.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
        return
    head = encode_answer(answer, time=talk.timers.wall_ms(), close=close)
    parts = [
        parser.send(head),
        parser.send(h11.Data(data=answer.body)),
        parser.send(h11.EndOfMessage()),
    ]
    await talk.stream.send_all(b''.join(part or b'' for part in parts))
