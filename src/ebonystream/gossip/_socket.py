"""Datagrams between entry hosts: a few facts in each."""

import zlib
from collections.abc import Iterable, Sequence

import attrs
import msgspec
import trio

from ebonystream._address import ServerAddress
from ebonystream.gossip._facts import HostFacts

HOSTS_PER_DATAGRAM = 6
MAX_DATAGRAM_BYTES = 65_507
MAX_DECOMPRESSED_BYTES = 262_144


class _Telling(msgspec.Struct, frozen=True, array_like=True):
    facts: tuple[HostFacts, ...]


@attrs.define
class GossipSocket:
    """The socket for what peers tell.

    Attributes:
        socket: A bound datagram socket.
        port: The port of all hosts.
        sent_bytes: Bytes sent so far.
    """

    socket: trio.socket.SocketType
    port: int
    sent_bytes: int = 0

    async def send(
        self, facts: Sequence[HostFacts], addresses: Iterable[str]
    ) -> None:
        """Tell facts to hosts; what can't be sent is lost.

        Args:
            facts: What is told.
            addresses: The IP numbers of the hosts.
        """
        parts = [
            _encode(facts[start : start + HOSTS_PER_DATAGRAM])
            for start in range(0, len(facts), HOSTS_PER_DATAGRAM)
        ]
        for address in addresses:
            for part in parts:
                await self._send_part(part, address)

    async def receive(self) -> tuple[HostFacts, ...]:
        """Wait for the next datagram; empty where it can't be read."""
        content, _ = await self.socket.recvfrom(MAX_DATAGRAM_BYTES)
        try:
            return _decode(content)
        except (msgspec.MsgspecError, UnicodeDecodeError, zlib.error):
            return ()

    async def _send_part(self, part: bytes, address: str) -> None:
        try:
            await self.socket.sendto(part, (address, self.port))
        except OSError:
            # The next beat says the same again.
            return
        self.sent_bytes += len(part)


def _encode(facts: Sequence[HostFacts]) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(_Telling(tuple(facts))))


def _decode(content: bytes) -> tuple[HostFacts, ...]:
    unpacked = zlib.decompressobj().decompress(content, MAX_DECOMPRESSED_BYTES)
    return msgspec.msgpack.decode(unpacked, type=_Telling).facts


async def open_gossip_socket(at: ServerAddress) -> GossipSocket:
    """Open the socket for what peers tell.

    Args:
        at: Where peers send to.
    """
    socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await socket.bind((at.address, at.port))
    return GossipSocket(socket, at.port)
