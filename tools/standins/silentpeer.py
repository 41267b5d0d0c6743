"""A peer of the entry hosts that sends gossip, but answers no fetch."""

from collections.abc import Sequence
from functools import partial

import attrs
import trio

from ebonystream._address import ServerAddress
from ebonystream._ids import HostId, Incarnation, Offset, ZoneName
from ebonystream.gossip import HostFacts, open_gossip_socket

SEND_PERIOD_S = 0.25


@attrs.define(kw_only=True)
class SilentPeer:
    """One peer, which claims to be settled and to reach the store.

    Attributes:
        name: Name of the peer.
        zone: Its availability zone.
        address: Its address.
        port: Gossip port; fetches go to the next one.
        refuses_fetches: Whether it refuses the connections of fetches; it
            accepts them and stays silent otherwise.
        orders_end: Offset up to which it claims to have read the orders.
        incarnation: Number of its restarts.
        sequence: Number of messages of this incarnation.
    """

    name: HostId
    zone: ZoneName
    address: str
    port: int
    refuses_fetches: bool = False
    orders_end: Offset = Offset(0)
    incarnation: int = 0
    sequence: int = 0

    async def run(self, receivers: Sequence[str]) -> None:
        """Send gossip periodically; never return.

        Args:
            receivers: Addresses of the hosts that hear the peer.
        """
        gossip_socket = await open_gossip_socket(
            ServerAddress(self.address, self.port)
        )
        self.incarnation += 1
        self.sequence = 0
        with gossip_socket.socket:
            async with trio.open_nursery() as nursery:
                if not self.refuses_fetches:
                    listen = partial(trio.serve_tcp, host=self.address)
                    nursery.start_soon(listen, _stay_silent, self.port + 1)
                while True:
                    await gossip_socket.send((self._make_facts(),), receivers)
                    await trio.sleep(SEND_PERIOD_S)

    def _make_facts(self) -> HostFacts:
        self.sequence += 1
        return HostFacts(
            host=self.name,
            incarnation=Incarnation(f'{self.incarnation:020}'),
            sequence=self.sequence,
            zone=self.zone,
            address=self.address,
            leaving=False,
            store_unreachable=False,
            orders_end=self.orders_end,
            settled=True,
        )


async def _stay_silent(stream: trio.SocketStream) -> None:
    """Keep a connection open without an answer."""
    await trio.sleep_forever()
