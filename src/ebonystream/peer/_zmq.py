"""Transport over ZeroMQ: TCP, with CURVE authentication of peers.

Each host binds one ROUTER socket, which only receives, and opens one DEALER
socket for each peer, which only sends.
"""

import ipaddress
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import trio
import zmq
from zmq.utils import z85

from ebonystream._ids import HostId, Seconds
from ebonystream._timers import MS_PER_SECOND
from ebonystream.peer._sockets import receive_parts
from ebonystream.peer._transport import Transport
from ebonystream.peer._zap import (
    ZAP_DOMAIN,
    ZAP_ENDPOINT,
    authenticate_peers,
)

MAX_QUEUED_MESSAGES = 256
"""Maximum number of messages queued for one peer, or from one peer."""

RECONNECT_MS = 100
MAX_RECONNECT_MS = 1000

MESSAGE_PARTS = 2
"""The message itself, after the connection id that ZeroMQ puts first."""


@attrs.frozen(kw_only=True)
class ZmqSettings:
    """Settings of the transport of a host.

    Attributes:
        address: IP address to listen on.
        port: Port to listen on; 0 lets the operating system choose.
        public_key: CURVE public key shared by all hosts, encoded as Z85.
        secret_key: CURVE secret key shared by all hosts, encoded as Z85.
        max_message_bytes: Maximum size of a message; a peer that exceeds it
            is disconnected.
        connection_timeout: Time without an acknowledgement after which a
            connection is reopened, in seconds.
    """

    address: str
    port: int
    public_key: bytes
    secret_key: bytes
    max_message_bytes: int
    connection_timeout: Seconds


@attrs.define
class _Dealer:
    endpoint: str
    socket: zmq.Socket[bytes]


@attrs.define
class ZmqTransport:
    """Sockets of one host.

    Attributes:
        context: ZeroMQ context of the host.
        settings: Settings of the sockets.
        router: Socket that receives.
        dealers: Sockets that send, by peer.
        unsent: Number of messages that were dropped because the peer was not
            connected or the queue was full.
        malformed: Number of messages that were dropped on receipt because
            they did not have exactly one part.
    """

    context: zmq.Context[zmq.Socket[bytes]]
    settings: ZmqSettings
    router: zmq.Socket[bytes]
    dealers: dict[HostId, _Dealer] = attrs.field(factory=dict)
    unsent: int = 0
    malformed: int = 0

    @property
    def port(self) -> int:
        """Port on which this host listens."""
        endpoint = self.router.getsockopt_string(zmq.LAST_ENDPOINT)
        return int(endpoint.rpartition(':')[2])

    def make_transport(self) -> Transport:
        """Return the transport that uses these sockets."""
        return Transport(
            send=self.send,
            receive=self.receive,
            connect=self.connect,
            disconnect=self.disconnect,
            count_dropped=lambda: self.unsent + self.malformed,
        )

    def send(self, host: HostId, message: bytes) -> None:
        """Send a message to a peer; drop and count it if that fails."""
        dealer = self.dealers.get(host)
        if dealer is None:
            self.unsent += 1
            return
        try:
            dealer.socket.send(message, zmq.NOBLOCK)
        except zmq.Again:
            self.unsent += 1

    async def receive(self) -> bytes:
        """Wait for the next message of any peer."""
        while True:
            parts = await receive_parts(self.router)
            if len(parts) == MESSAGE_PARTS:
                return parts[1]
            self.malformed += 1

    def connect(self, host: HostId, address: str, port: int) -> None:
        """Connect to a peer, unless it is connected at this address."""
        endpoint = format_endpoint(address, port)
        previous = self.dealers.get(host)
        if previous is not None and previous.endpoint == endpoint:
            return
        self.disconnect(host)
        socket = _open_dealer(self.context, self.settings)
        socket.connect(endpoint)
        self.dealers[host] = _Dealer(endpoint, socket)

    def disconnect(self, host: HostId) -> None:
        """Close the connection to a peer, if there is one."""
        dealer = self.dealers.pop(host, None)
        if dealer is not None:
            dealer.socket.close(linger=0)


@asynccontextmanager
async def open_zmq_transport(
    settings: ZmqSettings,
) -> AsyncIterator[ZmqTransport]:
    """Listen for peers while the block runs.

    Args:
        settings: Settings of the sockets.
    """
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    try:
        async with trio.open_nursery() as nursery:
            authenticator = context.socket(zmq.REP)
            authenticator.bind(ZAP_ENDPOINT)
            public_key = z85.decode(settings.public_key)
            nursery.start_soon(
                lambda: authenticate_peers(authenticator, public_key=public_key)
            )
            router = _open_router(context, settings)
            yield ZmqTransport(context, settings, router)
            nursery.cancel_scope.cancel()
    finally:
        context.destroy(linger=0)


def format_endpoint(address: str, port: int) -> str:
    """Return the ZeroMQ endpoint of an address.

    Args:
        address: IPv4 or IPv6 address.
        port: TCP port.
    """
    if ipaddress.ip_address(address).version == 6:
        return f'tcp://[{address}]:{port}'
    return f'tcp://{address}:{port}'


def _open_router(
    context: zmq.Context[zmq.Socket[bytes]], settings: ZmqSettings
) -> zmq.Socket[bytes]:
    router = context.socket(zmq.ROUTER)
    _configure(router, settings)
    router.setsockopt(zmq.CURVE_SERVER, 1)
    router.setsockopt(zmq.ZAP_DOMAIN, ZAP_DOMAIN)
    router.setsockopt(zmq.MAXMSGSIZE, settings.max_message_bytes)
    router.setsockopt(zmq.TCP_KEEPALIVE, 1)
    router.bind(format_endpoint(settings.address, settings.port))
    return router


def _open_dealer(
    context: zmq.Context[zmq.Socket[bytes]], settings: ZmqSettings
) -> zmq.Socket[bytes]:
    dealer = context.socket(zmq.DEALER)
    _configure(dealer, settings)
    timeout_ms = int(settings.connection_timeout * MS_PER_SECOND)
    dealer.setsockopt(zmq.CURVE_SERVERKEY, settings.public_key)
    # Do not queue for a peer that is not connected: late messages are useless.
    dealer.setsockopt(zmq.IMMEDIATE, 1)
    dealer.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    dealer.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS)
    dealer.setsockopt(zmq.CONNECT_TIMEOUT, timeout_ms)
    dealer.setsockopt(zmq.TCP_MAXRT, timeout_ms)
    return dealer


def _configure(socket: zmq.Socket[bytes], settings: ZmqSettings) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.IPV6, 1)
    socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
    socket.setsockopt(zmq.CURVE_PUBLICKEY, settings.public_key)
    socket.setsockopt(zmq.CURVE_SECRETKEY, settings.secret_key)
