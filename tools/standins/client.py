"""A small HTTP/1.1 client on one persistent connection."""

import socket
from collections.abc import Mapping
from types import MappingProxyType

import attrs
import h11
import trio

READ_BYTES = 65536
NO_HEADERS: Mapping[str, str] = MappingProxyType({})


class ConnectionLost(Exception):
    """Raised when the connection closes before the response is complete."""


@attrs.frozen(kw_only=True)
class Response:
    """A complete response.

    Attributes:
        status: The HTTP status.
        headers: Header fields by lower-case name.
        body: The complete body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


@attrs.define
class Client:
    """A persistent connection to a server.

    Attributes:
        stream: The connection.
        protocol: The state of HTTP/1.1 on the connection.
    """

    stream: trio.abc.Stream
    protocol: h11.Connection = attrs.field(
        factory=lambda: h11.Connection(h11.CLIENT),
    )

    @property
    def closed_by_server(self) -> bool:
        """Whether the server closed an idle connection.

        Only sockets are checked; other streams count as open.
        """
        stream = self.stream
        if isinstance(stream, trio.SocketStream):
            return stream.socket.is_readable()
        return False

    @property
    def reusable(self) -> bool:
        """Whether the connection can carry another request."""
        return self.protocol.our_state is h11.IDLE


async def connect(host: str, port: int) -> Client:
    """Open a connection to a server.

    Args:
        host: The IP address of the server.
        port: The port of the server.
    """
    stream = await trio.open_tcp_stream(host, port)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Client(stream)


async def fetch(
    client: Client,
    method: str,
    target: str,
    *,
    headers: Mapping[str, str] = NO_HEADERS,
    body: bytes = b'',
) -> Response:
    """Send a request and wait for the complete response.

    Args:
        client: The connection.
        method: The HTTP method.
        target: The path and query.
        headers: Header fields except Host and Content-Length.
        body: The complete body.

    Raises:
        ConnectionLost: The connection closed before the response was complete.
    """
    request = _encode_request(client.protocol, method, target, headers, body)
    try:
        await client.stream.send_all(request)
    except trio.BrokenResourceError as error:
        raise ConnectionLost(target) from error
    return await _receive_response(client)


def _encode_request(
    protocol: h11.Connection,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes,
) -> bytes:
    fields = [('host', 'localhost'), *headers.items()]
    fields.append(('content-length', str(len(body))))
    head = h11.Request(method=method, target=target, headers=fields)
    encoded = (
        protocol.send(head),
        protocol.send(h11.Data(data=body)),
        protocol.send(h11.EndOfMessage()),
    )
    return b''.join(part or b'' for part in encoded)


async def _receive_response(client: Client) -> Response:
    head = await _receive_event(client)
    if not isinstance(head, h11.Response):
        raise ConnectionLost
    body = bytearray()
    event = await _receive_event(client)
    while isinstance(event, h11.Data):
        body += event.data
        event = await _receive_event(client)
    _prepare_next_request(client.protocol)
    return _make_response(head, bytes(body))


async def _receive_event(client: Client) -> object:
    try:
        while (event := client.protocol.next_event()) is h11.NEED_DATA:
            received = await client.stream.receive_some(READ_BYTES)
            client.protocol.receive_data(bytes(received))
    except (trio.BrokenResourceError, h11.RemoteProtocolError) as error:
        raise ConnectionLost from error
    return event


def _prepare_next_request(protocol: h11.Connection) -> None:
    states = {protocol.our_state, protocol.their_state}
    if states == {h11.DONE}:
        protocol.start_next_cycle()


def _make_response(head: h11.Response, body: bytes) -> Response:
    return Response(
        status=head.status_code,
        headers={
            name.decode('latin-1'): field.decode('latin-1')
            for name, field in head.headers
        },
        body=body,
    )
