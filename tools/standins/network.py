"""A network between entry hosts, in memory and on trio's clock.

It loses, delays, duplicates and reorders what is sent, cuts one direction of a
link, and holds a host as if its process were stopped. One seeded random source
decides all of it.
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
    """What the network does to messages.

    Attributes:
        loss: The share that is lost.
        duplication: The share that arrives twice.
        min_delay_s: The shortest delay, in seconds.
        max_delay_s: The longest; messages overtake one another within it.
    """

    loss: float = 0
    duplication: float = 0
    min_delay_s: float = 0.001
    max_delay_s: float = 0.001


@attrs.define
class Port:
    """Where a host is reached.

    Attributes:
        inbox: Takes what arrives.
        outbox: Gives it to the host.
        connected: The peers that the host may send to.
        running: Set while the host is not held.
    """

    inbox: trio.MemorySendChannel[bytes]
    outbox: trio.MemoryReceiveChannel[bytes]
    connected: set[HostId] = attrs.field(factory=set)
    running: trio.Event = attrs.field(factory=trio.Event)


@attrs.frozen(order=True)
class Sent:
    """One message on its way.

    Attributes:
        due: When it arrives, in seconds.
        number: Orders messages that arrive at once.
        link: From which host to which.
        body: What was sent.
    """

    due: float
    number: int
    link: tuple[HostId, HostId] = attrs.field(order=False)
    body: bytes = attrs.field(order=False)


@attrs.define
class Network:
    """Every link between the hosts.

    Attributes:
        random: Decides about each message.
        faults: What happens to messages.
        ports: Where each host is reached.
        cuts: The directions, from host to host, that carry nothing.
        sent: Messages that were sent.
        lost: Messages that did not arrive.
    """

    random: Random
    faults: Faults = attrs.field(factory=Faults)
    ports: dict[HostId, Port] = attrs.field(factory=dict)
    cuts: set[tuple[HostId, HostId]] = attrs.field(factory=set)
    sent: int = 0
    lost: int = 0
    _queue: list[Sent] = attrs.field(factory=list)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)
    _queued: trio.Event = attrs.field(factory=trio.Event)

    def open_transport(self, host: HostId) -> Transport:
        """Start a host; an earlier one of the name is no longer reached.

        Args:
            host: Names the host.
        """
        port = Port(*trio.open_memory_channel[bytes](INBOX_MESSAGES))
        port.running.set()
        self.ports[host] = port

        def send(peer: HostId, sent: bytes) -> None:
            if peer in port.connected and self.ports.get(host) is port:
                self._send(host, peer, sent)

        async def receive() -> bytes:
            while True:
                sent = await port.outbox.receive()
                await port.running.wait()
                return sent

        def connect(peer: HostId, address: str, number: int) -> None:
            port.connected.add(peer)

        return Transport(
            send=send,
            receive=receive,
            connect=connect,
            disconnect=port.connected.discard,
        )

    def close(self, host: HostId) -> None:
        """End a host: nothing reaches it or leaves it.

        Args:
            host: Names the host.
        """
        self.ports.pop(host, None)

    def hold(self, host: HostId) -> None:
        """Let a host take in nothing and send nothing until it is resumed.

        Args:
            host: Names the host.
        """
        port = self.ports[host]
        if port.running.is_set():
            port.running = trio.Event()

    def resume(self, host: HostId) -> None:
        """Let a host go on; what was sent to it meanwhile reaches it now.

        Args:
            host: Names the host.
        """
        self.ports[host].running.set()

    async def run(self) -> None:
        """Carry messages, for ever."""
        while True:
            self._queued = trio.Event()
            due = self._queue[0].due if self._queue else float('inf')
            with trio.move_on_at(due):
                await self._queued.wait()
            self._deliver()

    def _send(self, host: HostId, peer: HostId, sent: bytes) -> None:
        if not self.ports[host].running.is_set():
            return
        self.sent += 1
        if self.random.random() < self.faults.loss:
            self.lost += 1
            return
        self._enqueue(host, peer, sent)
        if self.random.random() < self.faults.duplication:
            self._enqueue(host, peer, sent)

    def _enqueue(self, host: HostId, peer: HostId, sent: bytes) -> None:
        delay = self.random.uniform(
            self.faults.min_delay_s, self.faults.max_delay_s
        )
        due = trio.current_time() + delay
        number = next(self._numbers)
        heapq.heappush(self._queue, Sent(due, number, (host, peer), sent))
        self._queued.set()

    def _deliver(self) -> None:
        while self._queue and self._queue[0].due <= trio.current_time():
            self._arrive(heapq.heappop(self._queue))

    def _arrive(self, sent: Sent) -> None:
        port = self.ports.get(sent.link[1])
        if port is None or sent.link in self.cuts:
            self.lost += 1
            return
        try:
            port.inbox.send_nowait(sent.body)
        except trio.WouldBlock:
            self.lost += 1
