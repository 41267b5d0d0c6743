"""An in-memory network between entry hosts, on trio's clock.

The network loses, delays, duplicates and reorders messages, blocks single
directions of links, and suspends hosts as if their process were stopped. A
single seeded random source makes all these decisions.
"""

import heapq
import itertools
from collections.abc import Iterator
from random import Random

import attrs
import trio

from ebonystream._ids import HostId
from ebonystream.peer import Transport

INBOX_MESSAGES = 10_000


@attrs.define(kw_only=True)
class Faults:
    """Faults that the network applies to messages.

    Attributes:
        loss: Share of messages that are lost, from 0 to 1.
        duplication: Share of messages that are delivered twice, from 0 to 1.
        min_delay_s: Minimum delay, in seconds.
        max_delay_s: Maximum delay, in seconds; messages are reordered if it is
            greater than the minimum.
    """

    loss: float = 0
    duplication: float = 0
    min_delay_s: float = 0.001
    max_delay_s: float = 0.001


@attrs.define
class Endpoint:
    """Attachment of a host to the network.

    Attributes:
        inbox_sender: Sending end of the channel of messages to the host.
        inbox_receiver: Receiving end of that channel.
        connected: Peers to which the host may send.
        resumed: Set unless the host is suspended.
    """

    inbox_sender: trio.MemorySendChannel[bytes]
    inbox_receiver: trio.MemoryReceiveChannel[bytes]
    connected: set[HostId] = attrs.field(factory=set)
    resumed: trio.Event = attrs.field(factory=trio.Event)


@attrs.frozen(order=True)
class Message:
    """One message in transit.

    Attributes:
        due: Time of its delivery, in seconds.
        sequence: Orders messages that are due at the same time.
        link: Sending and receiving host.
        body: Encoded message.
    """

    due: float
    sequence: int
    link: tuple[HostId, HostId] = attrs.field(order=False)
    body: bytes = attrs.field(order=False)


@attrs.define
class Network:
    """The links between all hosts.

    Attributes:
        random: Decides the faults and the delay of each message.
        faults: Faults that are applied to messages.
        endpoints: Endpoint of each host.
        blocked_links: Pairs of sending and receiving host whose messages are
            lost.
        sent_count: Number of messages sent.
        lost_count: Number of messages that were not delivered.
    """

    random: Random
    faults: Faults = attrs.field(factory=Faults)
    endpoints: dict[HostId, Endpoint] = attrs.field(factory=dict)
    blocked_links: set[tuple[HostId, HostId]] = attrs.field(factory=set)
    sent_count: int = 0
    lost_count: int = 0
    _queue: list[Message] = attrs.field(factory=list)
    _sequence: Iterator[int] = attrs.field(factory=itertools.count)
    _queued: trio.Event = attrs.field(factory=trio.Event)

    def open_transport(self, host: HostId) -> Transport:
        """Open the transport of a host; an earlier one is disconnected.

        Args:
            host: Name of the host.
        """
        endpoint = Endpoint(*trio.open_memory_channel[bytes](INBOX_MESSAGES))
        endpoint.resumed.set()
        self.endpoints[host] = endpoint

        def send(peer: HostId, body: bytes) -> None:
            if (
                peer in endpoint.connected
                and self.endpoints.get(host) is endpoint
            ):
                self._send(host, peer, body)

        async def receive() -> bytes:
            while True:
                body = await endpoint.inbox_receiver.receive()
                await endpoint.resumed.wait()
                return body

        def connect(peer: HostId, address: str, port: int) -> None:
            endpoint.connected.add(peer)

        return Transport(
            send=send,
            receive=receive,
            connect=connect,
            disconnect=endpoint.connected.discard,
        )

    def close(self, host: HostId) -> None:
        """Disconnect a host; it neither sends nor receives any more.

        Args:
            host: Name of the host.
        """
        self.endpoints.pop(host, None)

    def suspend(self, host: HostId) -> None:
        """Suspend a host: it neither sends nor receives until it is resumed.

        Args:
            host: Name of the host.
        """
        endpoint = self.endpoints[host]
        if endpoint.resumed.is_set():
            endpoint.resumed = trio.Event()

    def resume(self, host: HostId) -> None:
        """Resume a host; it receives the messages that arrived meanwhile.

        Args:
            host: Name of the host.
        """
        self.endpoints[host].resumed.set()

    async def run(self) -> None:
        """Deliver messages until cancelled."""
        while True:
            self._queued = trio.Event()
            due = self._queue[0].due if self._queue else float('inf')
            with trio.move_on_at(due):
                await self._queued.wait()
            self._deliver_due()

    def _send(self, host: HostId, peer: HostId, body: bytes) -> None:
        if not self.endpoints[host].resumed.is_set():
            return
        self.sent_count += 1
        if self.random.random() < self.faults.loss:
            self.lost_count += 1
            return
        self._enqueue(host, peer, body)
        if self.random.random() < self.faults.duplication:
            self._enqueue(host, peer, body)

    def _enqueue(self, host: HostId, peer: HostId, body: bytes) -> None:
        delay = self.random.uniform(
            self.faults.min_delay_s, self.faults.max_delay_s
        )
        due = trio.current_time() + delay
        sequence = next(self._sequence)
        heapq.heappush(self._queue, Message(due, sequence, (host, peer), body))
        self._queued.set()

    def _deliver_due(self) -> None:
        while self._queue and self._queue[0].due <= trio.current_time():
            self._deliver(heapq.heappop(self._queue))

    def _deliver(self, message: Message) -> None:
        endpoint = self.endpoints.get(message.link[1])
        if endpoint is None or message.link in self.blocked_links:
            self.lost_count += 1
            return
        try:
            endpoint.inbox_sender.send_nowait(message.body)
        except trio.WouldBlock:
            self.lost_count += 1
