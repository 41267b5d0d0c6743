"""The transport over ZeroMQ: TCP, with CURVE where peers are unknown.

Each host binds one ROUTER socket, which only receives, and keeps one DEALER
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

QUEUED_MESSAGES = 256
"""Messages that may wait for one peer, or from one peer."""

RECONNECT_MS = 100
MAX_RECONNECT_MS = 1000

RECEIVED_PARTS = 2
"""ZeroMQ puts its own name of the connection before what was sent."""


@attrs.frozen(kw_only=True)
class ZmqSettings:
    """How a host's transport is set up.

    Attributes:
        address: The IP number to listen on.
        port: The port to listen on; 0 lets the operating system choose.
        public_key: The CURVE public key that all hosts share, Z85 spelling.
        secret_key: The CURVE secret key that all hosts share, Z85 spelling.
        max_message_bytes: A peer that sends more is disconnected.
        silence: A connection on which nothing is acknowledged for that long
            is opened anew, in seconds.
    """

    address: str
    port: int
    public_key: bytes
    secret_key: bytes
    max_message_bytes: int
    silence: Seconds


@attrs.define
class _Dealer:
    endpoint: str
    socket: zmq.Socket[bytes]


@attrs.define
class ZmqTransport:
    """The sockets of one host.

    Attributes:
        context: The ZeroMQ context of this host.
        settings: How the sockets are set up.
        router: The socket that receives.
        dealers: The socket to each peer.
        unsent: Messages that were dropped: no connection, or a full queue.
        misshapen: Messages that were dropped: more than one part.
    """

    context: zmq.Context[zmq.Socket[bytes]]
    settings: ZmqSettings
    router: zmq.Socket[bytes]
    dealers: dict[HostId, _Dealer] = attrs.field(factory=dict)
    unsent: int = 0
    misshapen: int = 0

    @property
    def port(self) -> int:
        """The port that this host listens on."""
        endpoint = self.router.getsockopt_string(zmq.LAST_ENDPOINT)
        return int(endpoint.rpartition(':')[2])

    def share(self) -> Transport:
        """Give the functions that carry bytes over these sockets."""
        return Transport(
            send=self.send,
            receive=self.receive,
            connect=self.connect,
            disconnect=self.disconnect,
            count_lost=lambda: self.unsent + self.misshapen,
        )

    def send(self, host: HostId, sent: bytes) -> None:
        """Send to a peer, or count that it could not be sent."""
        dealer = self.dealers.get(host)
        if dealer is None:
            self.unsent += 1
            return
        try:
            dealer.socket.send(sent, zmq.NOBLOCK)
        except zmq.Again:
            self.unsent += 1

    async def receive(self) -> bytes:
        """Wait for what any peer sent next."""
        while True:
            parts = await receive_parts(self.router)
            if len(parts) == RECEIVED_PARTS:
                return parts[1]
            self.misshapen += 1

    def connect(self, host: HostId, address: str, port: int) -> None:
        """Open the way to a peer, unless it is open to this address."""
        endpoint = spell_endpoint(address, port)
        known = self.dealers.get(host)
        if known is not None and known.endpoint == endpoint:
            return
        self.disconnect(host)
        dealer = _open_dealer(self.context, self.settings)
        dealer.connect(endpoint)
        self.dealers[host] = _Dealer(endpoint, dealer)

    def disconnect(self, host: HostId) -> None:
        """Close the way to a peer, if there is one."""
        dealer = self.dealers.pop(host, None)
        if dealer is not None:
            dealer.socket.close(linger=0)


@asynccontextmanager
async def open_zmq_transport(
    settings: ZmqSettings,
) -> AsyncIterator[ZmqTransport]:
    """Listen for peers for as long as the block runs.

    Args:
        settings: How the sockets are set up.
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


def spell_endpoint(address: str, port: int) -> str:
    """Spell where a host listens, in the way of ZeroMQ.

    Args:
        address: An IP number of either family.
        port: The TCP port.
    """
    if ipaddress.ip_address(address).version == 6:
        return f'tcp://[{address}]:{port}'
    return f'tcp://{address}:{port}'


def _open_router(
    context: zmq.Context[zmq.Socket[bytes]], settings: ZmqSettings
) -> zmq.Socket[bytes]:
    router = context.socket(zmq.ROUTER)
    _set_up(router, settings)
    router.setsockopt(zmq.CURVE_SERVER, 1)
    router.setsockopt(zmq.ZAP_DOMAIN, ZAP_DOMAIN)
    router.setsockopt(zmq.MAXMSGSIZE, settings.max_message_bytes)
    router.setsockopt(zmq.TCP_KEEPALIVE, 1)
    router.bind(spell_endpoint(settings.address, settings.port))
    return router


def _open_dealer(
    context: zmq.Context[zmq.Socket[bytes]], settings: ZmqSettings
) -> zmq.Socket[bytes]:
    dealer = context.socket(zmq.DEALER)
    _set_up(dealer, settings)
    silence_ms = int(settings.silence * MS_PER_SECOND)
    dealer.setsockopt(zmq.CURVE_SERVERKEY, settings.public_key)
    # Nothing waits for a peer that is away: late copies help nobody.
    dealer.setsockopt(zmq.IMMEDIATE, 1)
    dealer.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    dealer.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS)
    dealer.setsockopt(zmq.CONNECT_TIMEOUT, silence_ms)
    dealer.setsockopt(zmq.TCP_MAXRT, silence_ms)
    return dealer


def _set_up(socket: zmq.Socket[bytes], settings: ZmqSettings) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.IPV6, 1)
    socket.setsockopt(zmq.SNDHWM, QUEUED_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, QUEUED_MESSAGES)
    socket.setsockopt(zmq.CURVE_PUBLICKEY, settings.public_key)
    socket.setsockopt(zmq.CURVE_SECRETKEY, settings.secret_key)
