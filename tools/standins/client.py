"""A small HTTP/1.1 client on one kept connection."""

import socket
from collections.abc import Mapping
from types import MappingProxyType

import attrs
import h11
import trio

READ_BYTES = 65536
NO_HEADERS: Mapping[str, str] = MappingProxyType({})


class ConnectionLost(Exception):
    """Raised when the connection closes before the answer is whole."""


@attrs.frozen(kw_only=True)
class Reply:
    """One whole answer.

    Attributes:
        status: The HTTP status.
        headers: Header fields by lower-case name.
        body: The whole body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


@attrs.define
class Client:
    """One kept connection.

    Attributes:
        stream: The connection.
        wire: The state of the protocol on it.
    """

    stream: trio.abc.Stream
    wire: h11.Connection = attrs.field(
        factory=lambda: h11.Connection(h11.CLIENT),
    )

    @property
    def closed(self) -> bool:
        """Whether an idle connection was closed by the other side."""
        stream = self.stream
        if isinstance(stream, trio.SocketStream):
            return stream.socket.is_readable()
        return False

    @property
    def usable(self) -> bool:
        """Whether the connection can carry one more request."""
        return self.wire.our_state is h11.IDLE


async def connect(host: str, port: int) -> Client:
    """Open a connection.

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
) -> Reply:
    """Send a request and wait for its whole answer.

    Args:
        client: The connection to send on.
        method: The HTTP method.
        target: The path with its query.
        headers: Header fields besides the host and the length.
        body: The whole body.

    Raises:
        ConnectionLost: The connection closed before the answer was whole.
    """
    request = _encode(client.wire, method, target, headers, body)
    try:
        await client.stream.send_all(request)
    except trio.BrokenResourceError as error:
        raise ConnectionLost(target) from error
    return await _receive(client)


def _encode(
    wire: h11.Connection,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes,
) -> bytes:
    fields = [('host', 'localhost'), *headers.items()]
    fields.append(('content-length', str(len(body))))
    head = h11.Request(method=method, target=target, headers=fields)
    encoded = (
        wire.send(head),
        wire.send(h11.Data(data=body)),
        wire.send(h11.EndOfMessage()),
    )
    return b''.join(part or b'' for part in encoded)


async def _receive(client: Client) -> Reply:
    head = await _receive_event(client)
    if not isinstance(head, h11.Response):
        raise ConnectionLost
    body = bytearray()
    event = await _receive_event(client)
    while isinstance(event, h11.Data):
        body += event.data
        event = await _receive_event(client)
    _end_cycle(client.wire)
    return _make_reply(head, bytes(body))


async def _receive_event(client: Client) -> object:
    try:
        while (event := client.wire.next_event()) is h11.NEED_DATA:
            received = await client.stream.receive_some(READ_BYTES)
            client.wire.receive_data(bytes(received))
    except (trio.BrokenResourceError, h11.RemoteProtocolError) as error:
        raise ConnectionLost from error
    return event


def _end_cycle(wire: h11.Connection) -> None:
    states = {wire.our_state, wire.their_state}
    if states == {h11.DONE}:
        wire.start_next_cycle()


def _make_reply(head: h11.Response, body: bytes) -> Reply:
    return Reply(
        status=head.status_code,
        headers={
            name.decode('latin-1'): field.decode('latin-1')
            for name, field in head.headers
        },
        body=body,
    )
