"""Serving of the requests of a connection, with responses in their order."""

import trio

from ebonystream.errors import EbonystreamError
from ebonystream.http1 import RECEIVE_BYTES, Message
from ebonystream.ingress._disconnects import wait_for_disconnect
from ebonystream.ingress._pipeline import (
    MAX_PIPELINED_REQUESTS,
    PendingRequest,
    Pipeline,
)
from ebonystream.ingress._session import Session

DISCONNECT_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)
"""Errors that show that the peer has closed the connection."""


async def serve_pipeline(session: Session, pipeline: Pipeline) -> bool:
    """Serve a request and those that arrive before its response is sent.

    Args:
        session: The connection.
        pipeline: Holds the request.

    Returns:
        Whether another request may follow.
    """
    is_open = True
    async with trio.open_nursery() as nursery:
        first = pipeline.pending[0]
        nursery.start_soon(_serve_request, session, pipeline, first)
        nursery.start_soon(_watch_caller, session, pipeline, nursery)
        while pipeline.pending and is_open:
            _start_received(session, pipeline, nursery)
            is_open = await _send_next_response(session, pipeline)
        # The watcher may have received another request already.
        pipeline.closing = True
        nursery.cancel_scope.cancel()
    return is_open


def _start_request(
    session: Session,
    pipeline: Pipeline,
    nursery: trio.Nursery,
    message: Message,
) -> None:
    request = pipeline.add(message, session.first_byte_at)
    nursery.start_soon(_serve_request, session, pipeline, request)


def _start_received(
    session: Session, pipeline: Pipeline, nursery: trio.Nursery
) -> None:
    """Start the received requests that may be served now, in order."""
    received = session.reader.collector.completed.messages
    while received and pipeline.accepts(received[0]):
        message = _take_request(session)
        if message is None:
            # Its error response comes before all that follows it.
            pipeline.closing = True
            return
        session.first_byte_at = session.timers.now()
        _start_request(session, pipeline, nursery, message)


def _take_request(session: Session) -> Message | None:
    """Take the next request; None if it has to give way to others.

    The reader keeps the error and raises it in `_wait_for_request`.
    """
    try:
        return session.reader.next_message()
    except EbonystreamError:
        return None


async def _serve_request(
    session: Session, pipeline: Pipeline, request: PendingRequest
) -> None:
    session.connections.active_requests += 1
    try:
        response = await session.respond(
            request.message, request.arrived_at, request.presence
        )
        pipeline.record_response(request, response)
        await request.sent.wait()
    finally:
        session.connections.active_requests -= 1


async def _send_next_response(session: Session, pipeline: Pipeline) -> bool:
    """Send the oldest response; return whether the connection stays open."""
    request = pipeline.pending[0]
    response = await request.wait_for_response()
    try:
        await session.stream.send_all(response.content)
    except DISCONNECT_ERRORS:
        return False
    pipeline.pending.popleft()
    request.sent.set()
    return not response.close


async def _watch_caller(
    session: Session, pipeline: Pipeline, nursery: trio.Nursery
) -> None:
    """Start the requests that arrive, and report the caller's disconnect."""
    if not await _read_ahead(session, pipeline, nursery):
        await wait_for_disconnect(session.stream.inner, session.timers)
    pipeline.mark_disconnected()


async def _read_ahead(
    session: Session, pipeline: Pipeline, nursery: trio.Nursery
) -> bool:
    """Start the requests that arrive; return whether the caller disconnected.

    Reading stops at a body that is incomplete, which `_receive` limits, at the
    maximum number of requests, and at invalid input.
    """
    reader = session.reader
    while len(reader.collector.completed.messages) < MAX_PIPELINED_REQUESTS:
        try:
            data = await session.stream.receive_some(RECEIVE_BYTES)
        except trio.BrokenResourceError:
            data = b''
        if not data:
            return True
        try:
            reader.feed(bytes(data))
        except EbonystreamError:
            # The reader keeps the error and raises it in `_wait_for_request`.
            return False
        _start_received(session, pipeline, nursery)
        if reader.collector.in_message and reader.collector.in_body:
            return False
    return False
