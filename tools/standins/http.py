"""A small HTTP/1.1 server with one task for each connection.

A handler gets a complete request and returns a complete response. It is
cancelled if the client closes the connection before the response is ready. A
`ValueError` raised by the handler becomes a response with status 400.
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
    """A complete request.

    Attributes:
        method: The HTTP method.
        path: The path without the query.
        query: The query parameters by name.
        headers: Header fields by lower-case name.
        body: The complete body.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


@attrs.frozen(kw_only=True)
class Response:
    """A complete response.

    Attributes:
        status: The HTTP status.
        headers: Header fields except Content-Length.
        body: The complete body.
    """

    status: int = HTTPStatus.OK
    headers: tuple[Header, ...] = ()
    body: bytes = b''


class CloseWithoutResponse(Exception):
    """Raised by a handler to close the connection without a response."""


CONNECTION_ERRORS = (
    CloseWithoutResponse,
    trio.BrokenResourceError,
    h11.ProtocolError,
)

Handler = Callable[[Request], Awaitable[Response]]
OnConnect = Callable[[], Awaitable[None]]


@attrs.define
class Connections:
    """The open connections of a server.

    Attributes:
        scopes: The cancel scope of each open connection.
    """

    scopes: set[trio.CancelScope] = attrs.field(factory=set)

    def close_all(self) -> None:
        """Close every open connection, also while a request is served."""
        for scope in self.scopes:
            scope.cancel()


def make_json_response(
    payload: object, *, status: int = HTTPStatus.OK
) -> Response:
    """Return a response with a JSON body.

    Args:
        payload: The value to encode.
        status: The HTTP status.
    """
    return Response(
        status=status,
        headers=(('content-type', 'application/json'),),
        body=msgspec.json.encode(payload),
    )


async def accept_connection() -> None:
    """Accept a connection without delay."""


async def serve_http(
    handle: Handler,
    host: str,
    port: int,
    *,
    on_connect: OnConnect = accept_connection,
    connections: Connections | None = None,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve HTTP until cancelled.

    Args:
        handle: Handles a request and returns the response.
        host: The IP address to listen on.
        port: The port to listen on; 0 selects a free port.
        on_connect: Called on each new connection before it is read.
        connections: Registry of open connections, for closing them at once.
        task_status: Receives the port once the server listens.
    """
    listeners = await trio.open_tcp_listeners(port, host=host)
    task_status.started(listeners[0].socket.getsockname()[1])
    serve = partial(
        serve_stream,
        handle=handle,
        on_connect=on_connect,
        connections=connections or Connections(),
    )
    await trio.serve_listeners(serve, listeners)


async def serve_stream(
    stream: trio.abc.Stream,
    *,
    handle: Handler,
    on_connect: OnConnect = accept_connection,
    connections: Connections,
) -> None:
    """Serve one connection until it closes or is cancelled.

    Args:
        stream: The connection.
        handle: Handles a request and returns the response.
        on_connect: Called before the connection is read.
        connections: Registry that lists the connection while it is open.
    """
    scope = trio.CancelScope()
    connections.scopes.add(scope)
    try:
        with scope:
            await _serve_requests(stream, handle, on_connect)
    except CONNECTION_ERRORS:
        return
    finally:
        connections.scopes.discard(scope)
        await trio.aclose_forcefully(stream)


async def _serve_requests(
    stream: trio.abc.Stream,
    handle: Handler,
    on_connect: OnConnect,
) -> None:
    await on_connect()
    protocol = h11.Connection(h11.SERVER)
    while True:
        request = await _receive_request(stream, protocol)
        if request is None:
            return
        response = await _run_until_disconnect(
            stream, protocol, partial(handle, request)
        )
        if response is None:
            return
        await _send_response(stream, protocol, response)
        if protocol.our_state is not h11.DONE:
            return
        protocol.start_next_cycle()


async def _receive_request(
    stream: trio.abc.Stream,
    protocol: h11.Connection,
) -> Request | None:
    head = await _receive_event(stream, protocol)
    if isinstance(head, h11.Request):
        return _make_request(head, await _receive_body(stream, protocol))
    return None


async def _receive_body(
    stream: trio.abc.Stream,
    protocol: h11.Connection,
) -> bytes:
    body = bytearray()
    event = await _receive_event(stream, protocol)
    while isinstance(event, h11.Data):
        body += event.data
        event = await _receive_event(stream, protocol)
    return bytes(body)


async def _receive_event(
    stream: trio.abc.Stream,
    protocol: h11.Connection,
) -> object:
    while (event := protocol.next_event()) is h11.NEED_DATA:
        received = await stream.receive_some(READ_BYTES)
        protocol.receive_data(bytes(received))
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


async def _run_until_disconnect(
    stream: trio.abc.Stream,
    protocol: h11.Connection,
    handle: Callable[[], Awaitable[Response]],
) -> Response | None:
    response: Response | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _cancel_on_disconnect, stream, protocol, nursery.cancel_scope
        )
        try:
            response = await handle()
        except CloseWithoutResponse:
            response = None
        except ValueError as error:
            response = _make_bad_request(error)
        nursery.cancel_scope.cancel()
    return response


def _make_bad_request(error: ValueError) -> Response:
    return Response(status=HTTPStatus.BAD_REQUEST, body=str(error).encode())


async def _cancel_on_disconnect(
    stream: trio.abc.Stream,
    protocol: h11.Connection,
    scope: trio.CancelScope,
) -> None:
    try:
        while received := await stream.receive_some(READ_BYTES):
            protocol.receive_data(bytes(received))
    except trio.BrokenResourceError:
        scope.cancel()
    scope.cancel()


async def _send_response(
    stream: trio.abc.Stream,
    protocol: h11.Connection,
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
        protocol.send(head),
        protocol.send(h11.Data(data=response.body)),
        protocol.send(h11.EndOfMessage()),
    )
    await stream.send_all(b''.join(part or b'' for part in encoded))
