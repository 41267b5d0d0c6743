"""A small HTTP/1.1 server: one task for each connection, written straight down.

A handler takes a whole request and gives a whole response. It is cancelled if
the client closes the connection before the response is ready. A `ValueError`
that it raises is answered as a bad request.
"""

from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from http import HTTPStatus
from urllib.parse import parse_qsl, urlsplit

import attrs
import h11
import msgspec
import trio

READ_BYTES = 65536

Header = tuple[str, str]


@attrs.frozen(kw_only=True)
class Request:
    """One whole request.

    Attributes:
        method: The HTTP method.
        path: The path without its query.
        query: The fields of the query.
        headers: Header fields by lower-case name.
        body: The whole body.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


@attrs.frozen(kw_only=True)
class Response:
    """One whole response.

    Attributes:
        status: The HTTP status.
        headers: Header fields besides the length.
        body: The whole body.
    """

    status: int = HTTPStatus.OK
    headers: tuple[Header, ...] = ()
    body: bytes = b''


class HangUp(Exception):
    """Raised by a handler to close the connection without a response."""


CONNECTION_FAULTS = (HangUp, trio.BrokenResourceError, h11.ProtocolError)

Handle = Callable[[Request], Awaitable[Response]]
Greet = Callable[[], Awaitable[None]]


@attrs.define
class Connections:
    """The open connections of one server.

    Attributes:
        scopes: The cancel scope of each open connection.
    """

    scopes: set[trio.CancelScope] = attrs.field(factory=set)

    def cut(self) -> None:
        """Close every open connection, whatever it is doing."""
        for scope in self.scopes:
            scope.cancel()


def respond(payload: object, *, status: int = HTTPStatus.OK) -> Response:
    """Make a response with a JSON body.

    Args:
        payload: What to encode.
        status: The HTTP status.
    """
    return Response(
        status=status,
        headers=(('content-type', 'application/json'),),
        body=msgspec.json.encode(payload),
    )


async def greet_all() -> None:
    """Accept any connection at no cost."""


async def serve_http(
    handle: Handle,
    host: str,
    port: int,
    *,
    greet: Greet = greet_all,
    connections: Connections | None = None,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve HTTP until cancelled.

    Args:
        handle: Answers each request.
        host: The IP address to listen on.
        port: The port to listen on; 0 takes a free one.
        greet: Runs on each new connection before it is read.
        connections: Keeps the open connections, so that they can be cut.
        task_status: Is told the port once the server listens.
    """
    listeners = await trio.open_tcp_listeners(port, host=host)
    task_status.started(listeners[0].socket.getsockname()[1])
    serve = partial(
        serve_stream,
        handle=handle,
        greet=greet,
        connections=connections or Connections(),
    )
    await trio.serve_listeners(serve, listeners)


async def serve_stream(
    stream: trio.abc.Stream,
    *,
    handle: Handle,
    greet: Greet = greet_all,
    connections: Connections,
) -> None:
    """Serve one connection until it closes or is cut.

    Args:
        stream: The connection.
        handle: Answers each request.
        greet: Runs before the connection is read.
        connections: Keeps the connection while it is open.
    """
    scope = trio.CancelScope()
    connections.scopes.add(scope)
    try:
        with scope:
            await _converse(stream, handle, greet)
    except CONNECTION_FAULTS:
        return
    finally:
        connections.scopes.discard(scope)
        await trio.aclose_forcefully(stream)


async def _converse(
    stream: trio.abc.Stream,
    handle: Handle,
    greet: Greet,
) -> None:
    await greet()
    wire = h11.Connection(h11.SERVER)
    while True:
        request = await _receive_request(stream, wire)
        if request is None:
            return
        response = await _run_watched(stream, wire, partial(handle, request))
        if response is None:
            return
        await _send_response(stream, wire, response)
        if wire.our_state is not h11.DONE:
            return
        wire.start_next_cycle()


async def _receive_request(
    stream: trio.abc.Stream,
    wire: h11.Connection,
) -> Request | None:
    head = await _receive_event(stream, wire)
    if isinstance(head, h11.Request):
        return _make_request(head, await _receive_body(stream, wire))
    return None


async def _receive_body(
    stream: trio.abc.Stream,
    wire: h11.Connection,
) -> bytes:
    body = bytearray()
    event = await _receive_event(stream, wire)
    while isinstance(event, h11.Data):
        body += event.data
        event = await _receive_event(stream, wire)
    return bytes(body)


async def _receive_event(
    stream: trio.abc.Stream,
    wire: h11.Connection,
) -> object:
    while (event := wire.next_event()) is h11.NEED_DATA:
        received = await stream.receive_some(READ_BYTES)
        wire.receive_data(bytes(received))
    return event


def _make_request(head: h11.Request, body: bytes) -> Request:
    target = urlsplit(head.target.decode('ascii'))
    return Request(
        method=head.method.decode('ascii'),
        path=target.path,
        query=dict(parse_qsl(target.query)),
        headers={
            name.decode('latin-1'): field.decode('latin-1')
            for name, field in head.headers
        },
        body=body,
    )


async def _run_watched(
    stream: trio.abc.Stream,
    wire: h11.Connection,
    run: Callable[[], Awaitable[Response]],
) -> Response | None:
    response: Response | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch, stream, wire, nursery.cancel_scope)
        try:
            response = await run()
        except HangUp:
            response = None
        except ValueError as error:
            response = _refuse(error)
        nursery.cancel_scope.cancel()
    return response


def _refuse(error: ValueError) -> Response:
    return Response(status=HTTPStatus.BAD_REQUEST, body=str(error).encode())


async def _watch(
    stream: trio.abc.Stream,
    wire: h11.Connection,
    scope: trio.CancelScope,
) -> None:
    try:
        while received := await stream.receive_some(READ_BYTES):
            wire.receive_data(bytes(received))
    except trio.BrokenResourceError:
        scope.cancel()
    scope.cancel()


async def _send_response(
    stream: trio.abc.Stream,
    wire: h11.Connection,
    response: Response,
) -> None:
    head = h11.Response(
        status_code=response.status,
        headers=[
            *response.headers,
            ('content-length', str(len(response.body))),
        ],
    )
    encoded = (
        wire.send(head),
        wire.send(h11.Data(data=response.body)),
        wire.send(h11.EndOfMessage()),
    )
    await stream.send_all(b''.join(part or b'' for part in encoded))
