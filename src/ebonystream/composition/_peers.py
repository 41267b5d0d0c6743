"""Wires the ways to the other entry hosts; nothing runs yet."""

import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import attrs

from ebonystream._ids import Incarnation, Seconds
from ebonystream._timers import MS_PER_SECOND
from ebonystream.membership import Identity, Membership, MemberTable, Pace
from ebonystream.peer import (
    Exchange,
    ExchangeLimits,
    Questions,
    Transport,
    ZmqSettings,
    open_zmq_transport,
)
from ebonystream.settings import PeerSettings, Settings

INCARNATION_BYTES = 9
"""Short, since each heartbeat carries it twice, and still never drawn again."""


@attrs.frozen(kw_only=True)
class Peers:
    """The other entry hosts and the ways to them.

    Attributes:
        transport: Carries bytes to them.
        exchange: Asks them, and answers them.
        membership: How they stand.
    """

    transport: Transport
    exchange: Exchange
    membership: Membership


@asynccontextmanager
async def open_transport(settings: Settings) -> AsyncIterator[Transport]:
    """Listen for peers for as long as the block runs.

    Args:
        settings: The checked settings.
    """
    peers = settings.peers
    zmq_settings = ZmqSettings(
        address=str(settings.host.address),
        port=peers.port,
        public_key=peers.public_key.encode(),
        secret_key=peers.secret_key.encode(),
        max_message_bytes=peers.max_message_bytes,
        silence=Seconds(peers.unreachable_after_ms / MS_PER_SECOND),
    )
    async with open_zmq_transport(zmq_settings) as transport:
        yield transport.share()


def make_peers(
    settings: Settings, incarnation: Incarnation, transport: Transport
) -> Peers:
    """Make what this host knows of its peers.

    Args:
        settings: The checked settings.
        incarnation: This run of the host.
        transport: Carries bytes to them.
    """
    own = Identity(
        host=settings.host.id, incarnation=incarnation, zone=settings.host.zone
    )
    return Peers(
        transport=transport,
        exchange=Exchange(
            host=own.host,
            incarnation=incarnation,
            transport=transport,
            limits=ExchangeLimits(
                message_bytes=settings.peers.max_message_bytes,
                requests=settings.peers.max_requests,
            ),
            questions=Questions(Random(incarnation)),
        ),
        membership=Membership(
            table=MemberTable(own=own),
            base_pace=_read_pace(settings.peers),
            heartbeats_per_second=settings.peers.heartbeats_per_second,
        ),
    )


def _read_pace(peers: PeerSettings) -> Pace:
    return Pace(
        period=Seconds(peers.heartbeat_ms / MS_PER_SECOND),
        silence=Seconds(peers.unreachable_after_ms / MS_PER_SECOND),
    )


def draw_incarnation() -> Incarnation:
    """Draw the name of this run of the host."""
    return Incarnation(secrets.token_urlsafe(INCARNATION_BYTES))
