"""UDP socket for gossip; each datagram carries the facts of a few hosts."""

import zlib
from collections.abc import Iterable, Sequence

import attrs
import msgspec
import trio

from ebonystream._address import ServerAddress
from ebonystream._validation import UNDECODABLE
from ebonystream.gossip._facts import HostFacts

HOSTS_PER_DATAGRAM = 20
MAX_DATAGRAM_BYTES = 65_507  # largest UDP payload over IPv4
MAX_DECOMPRESSED_BYTES = 262_144
"""Upper bound on the decompressed size of one datagram."""

MALFORMED = (*UNDECODABLE, zlib.error)


class _FactsBatch(msgspec.Struct, frozen=True, array_like=True):
    facts: tuple[HostFacts, ...]


@attrs.frozen
class ReceivedFacts:
    """The facts of one datagram.

    Attributes:
        facts: The facts of the sender, and facts that it forwards.
        sender: IP address of the sender.
    """

    facts: tuple[HostFacts, ...]
    sender: str


@attrs.define
class GossipSocket:
    """Send and receive facts as compressed datagrams.

    Attributes:
        socket: Bound datagram socket.
        port: Gossip port, the same on all hosts.
        sent_bytes: Total number of payload bytes sent.
        malformed_datagrams: Number of datagrams that could not be decoded.
    """

    socket: trio.socket.SocketType
    port: int
    sent_bytes: int = 0
    malformed_datagrams: int = 0

    async def send(
        self, facts: Sequence[HostFacts], addresses: Iterable[str]
    ) -> None:
        """Send facts to hosts, without retrying datagrams that fail.

        Args:
            facts: Facts to send, split over several datagrams if needed.
            addresses: IP addresses of the receiving hosts.
        """
        payloads = [
            _encode(facts[start : start + HOSTS_PER_DATAGRAM])
            for start in range(0, len(facts), HOSTS_PER_DATAGRAM)
        ]
        for address in addresses:
            for payload in payloads:
                await self._send_datagram(payload, address)

    async def receive(self) -> ReceivedFacts:
        """Return the facts of the next datagram; none if it is malformed."""
        payload, sender = await self.socket.recvfrom(MAX_DATAGRAM_BYTES)
        try:
            return ReceivedFacts(_decode(payload), sender[0])
        except MALFORMED:
            self.malformed_datagrams += 1
            return ReceivedFacts((), sender[0])

    async def _send_datagram(self, payload: bytes, address: str) -> None:
        try:
            await self.socket.sendto(payload, (address, self.port))
        except OSError:
            # The next gossip round sends the same facts again.
            return
        self.sent_bytes += len(payload)


def _encode(facts: Sequence[HostFacts]) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(_FactsBatch(tuple(facts))))


def _decode(payload: bytes) -> tuple[HostFacts, ...]:
    decompressed = zlib.decompressobj().decompress(
        payload, MAX_DECOMPRESSED_BYTES
    )
    return msgspec.msgpack.decode(decompressed, type=_FactsBatch).facts


async def open_gossip_socket(at: ServerAddress) -> GossipSocket:
    """Open and bind the gossip socket.

    Args:
        at: Local address and port to which peers send.
    """
    socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await socket.bind((at.address, at.port))
    return GossipSocket(socket, at.port)
