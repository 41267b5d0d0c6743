"""Counts the bytes that control sends and receives."""

from collections.abc import Awaitable, Callable, Mapping

import attrs
import httpx

from ebonystream._ids import HostId
from ebonystream.peer import Transport

CONTENT_LENGTH = 'content-length'

Hooks = Mapping[str, list[Callable[..., Awaitable[None]]]]
"""Functions that an HTTP client calls, by the event that they see."""


@attrs.define
class Traffic:
    """Bytes of one kind of control traffic, without what carries them.

    Attributes:
        sent: Bytes that this host sent.
        received: Bytes that this host received.
    """

    sent: int = 0
    received: int = 0


def count_transport(transport: Transport, traffic: Traffic) -> Transport:
    """Count what a transport to peers carries.

    Args:
        transport: The transport.
        traffic: Where the bytes are counted.
    """

    def send(host: HostId, sent: bytes) -> None:
        traffic.sent += len(sent)
        transport.send(host, sent)

    async def receive() -> bytes:
        received = await transport.receive()
        traffic.received += len(received)
        return received

    return attrs.evolve(transport, send=send, receive=receive)


def make_traffic_hooks(traffic: Traffic) -> Hooks:
    """Make the hooks that count what an HTTP client sends and receives.

    Args:
        traffic: Where the bytes are counted.
    """

    async def count_request(request: httpx.Request) -> None:
        traffic.sent += _measure(request.headers)

    async def count_response(response: httpx.Response) -> None:
        traffic.received += _measure(response.headers)

    return {'request': [count_request], 'response': [count_response]}


def _measure(headers: httpx.Headers) -> int:
    fields = sum(len(name) + len(field) for name, field in headers.raw)
    return fields + int(headers.get(CONTENT_LENGTH, 0))
