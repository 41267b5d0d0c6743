"""Wiring of the communication with the other entry hosts."""

import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import attrs

from ebonystream._ids import Incarnation, Seconds
from ebonystream._timers import MS_PER_SECOND
from ebonystream.membership import (
    HeartbeatTiming,
    Identity,
    Membership,
    MemberTable,
)
from ebonystream.peer import (
    Exchange,
    ExchangeLimits,
    PendingRequests,
    Transport,
    ZmqSettings,
    open_zmq_transport,
)
from ebonystream.settings import PeerSettings, Settings

INCARNATION_BYTES = 9
"""Length of the random incarnation, in bytes.

It is short, as each heartbeat contains it twice, and still long enough that the
same one is never drawn again.
"""


@attrs.frozen(kw_only=True)
class Peers:
    """The other entry hosts and the connections to them.

    Attributes:
        transport: Transports messages to and from peers.
        exchange: Sends requests to peers and responds to theirs.
        membership: The states of the peers.
    """

    transport: Transport
    exchange: Exchange
    membership: Membership


@asynccontextmanager
async def open_transport(settings: Settings) -> AsyncIterator[Transport]:
    """Open the transport to peers, and close it at the end of the block.

    Args:
        settings: The checked settings.
    """
    peer_settings = settings.peers
    zmq_settings = ZmqSettings(
        address=str(settings.host.address),
        port=peer_settings.port,
        public_key=peer_settings.public_key.encode(),
        secret_key=peer_settings.secret_key.encode(),
        max_message_bytes=peer_settings.max_message_bytes,
        connection_timeout=Seconds(
            peer_settings.unreachable_after_ms / MS_PER_SECOND
        ),
    )
    async with open_zmq_transport(zmq_settings) as transport:
        yield transport.make_transport()


def make_peers(
    settings: Settings, incarnation: Incarnation, transport: Transport
) -> Peers:
    """Make the communication with peers without starting any task.

    Args:
        settings: The checked settings.
        incarnation: Incarnation of this host.
        transport: Transports messages to and from peers.
    """
    identity = Identity(
        host=settings.host.id, incarnation=incarnation, zone=settings.host.zone
    )
    return Peers(
        transport=transport,
        exchange=Exchange(
            host=identity.host,
            incarnation=incarnation,
            transport=transport,
            limits=ExchangeLimits(
                max_message_bytes=settings.peers.max_message_bytes,
                max_requests=settings.peers.max_requests,
            ),
            pending_requests=PendingRequests(Random(incarnation)),
        ),
        membership=Membership(
            table=MemberTable(local=identity),
            base_timing=_make_heartbeat_timing(settings.peers),
            heartbeats_per_second=settings.peers.heartbeats_per_second,
        ),
    )


def _make_heartbeat_timing(settings: PeerSettings) -> HeartbeatTiming:
    return HeartbeatTiming(
        period=Seconds(settings.heartbeat_ms / MS_PER_SECOND),
        timeout=Seconds(settings.unreachable_after_ms / MS_PER_SECOND),
    )


def draw_incarnation() -> Incarnation:
    """Return a random incarnation for this start of the host."""
    return Incarnation(secrets.token_urlsafe(INCARNATION_BYTES))
