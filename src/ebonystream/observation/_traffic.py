"""Count the bytes of control traffic."""

from collections.abc import Awaitable, Callable, Mapping

import attrs
import httpx

from ebonystream._ids import HostId
from ebonystream.peer import Transport

CONTENT_LENGTH = 'content-length'

Hooks = Mapping[str, list[Callable[..., Awaitable[None]]]]
"""Event hooks of an HTTP client, by name of the event."""


@attrs.define
class Traffic:
    """Byte counts of one kind of control traffic.

    Overhead of the layers below, such as framing and TCP, is not included.

    Attributes:
        sent_bytes: Number of bytes that this host sent.
        received_bytes: Number of bytes that this host received.
    """

    sent_bytes: int = 0
    received_bytes: int = 0


def count_transport_bytes(transport: Transport, traffic: Traffic) -> Transport:
    """Wrap a transport between peers to count the bytes of its messages.

    Args:
        transport: The transport.
        traffic: Counts to update.

    Returns:
        The wrapped transport.
    """

    def send(host: HostId, message: bytes) -> None:
        traffic.sent_bytes += len(message)
        transport.send(host, message)

    async def receive() -> bytes:
        message = await transport.receive()
        traffic.received_bytes += len(message)
        return message

    return attrs.evolve(transport, send=send, receive=receive)


def make_traffic_hooks(traffic: Traffic) -> Hooks:
    """Make event hooks that count the bytes of an HTTP client.

    Args:
        traffic: Counts to update.
    """

    async def count_request(request: httpx.Request) -> None:
        traffic.sent_bytes += _get_size(request.headers)

    async def count_response(response: httpx.Response) -> None:
        traffic.received_bytes += _get_size(response.headers)

    return {'request': [count_request], 'response': [count_response]}


def _get_size(headers: httpx.Headers) -> int:
    header_bytes = sum(len(name) + len(value) for name, value in headers.raw)
    return header_bytes + int(headers.get(CONTENT_LENGTH, 0))
