"""Gossip of whole deployments: who learns of whom, and what it costs.

The hosts share a network in memory that counts bytes, and may lose messages.
"""

from functools import partial
from random import Random

import attrs
import pytest
import trio

from ebonystream._timers import Timers
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.gossip import (
    GossipSocket,
    HostFacts,
    HostFactTable,
    HostRegistry,
    Joining,
    RegisteredHost,
    join_hosts,
    receive_gossip,
    select_contacts,
    send_gossip,
)

ZONES = ('a', 'b', 'c', 'd', 'e')


@attrs.define
class Network:
    """Datagrams between hosts, by IP address."""

    random: Random
    loss: float = 0
    queues: dict = attrs.field(factory=dict)
    zones: dict = attrs.field(factory=dict)
    datagrams: int = 0
    remote_bytes: int = 0

    def open(self, address, zone):
        """Open the socket of a host."""
        self.zones[address] = zone
        self.queues[address] = trio.open_memory_channel(100_000)
        return NetworkSocket(self, address)


@attrs.define
class NetworkSocket:
    """The datagram socket of one host."""

    network: Network
    address: str

    async def sendto(self, payload, target):
        """Deliver a datagram unless it is lost or its host is not there."""
        network = self.network
        network.datagrams += 1
        if network.zones.get(target[0]) != network.zones[self.address]:
            network.remote_bytes += len(payload)
        channel = network.queues.get(target[0])
        if channel is not None and network.random.random() >= network.loss:
            channel[0].send_nowait((payload, (self.address, target[1])))

    async def recvfrom(self, size):
        """Return the next datagram and its sender."""
        return await self.network.queues[self.address][1].receive()


@attrs.define
class Store:
    """The registered hosts, and the calls that were made for them."""

    is_down: bool = False
    hosts: list = attrs.field(factory=list)
    failures: list = attrs.field(factory=list)
    calls: int = 0

    async def register(self, host):
        """Register a host."""
        await self._call()
        self.hosts.append(RegisteredHost(host.address, host.zone))

    async def list_hosts(self):
        """List the registered hosts."""
        await self._call()
        return tuple(self.hosts)

    async def _call(self):
        self.calls += 1
        await trio.sleep(0.004)
        if self.is_down:
            raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, 'down')


@attrs.define
class Host:
    """One entry host that only gossips."""

    number: int
    zone: str
    network: Network
    timers: Timers
    table: HostFactTable = None
    sequence: int = 0

    @property
    def address(self):
        """IP address of the host."""
        return f'10.0.{self.number // 250}.{self.number % 250 + 1}'

    def make_facts(self):
        """Make the current facts of the host."""
        self.sequence += 1
        return HostFacts(
            host=f'edge-{self.zone}-{self.number:03}',
            incarnation=f'{1_800_000_000_000 + self.number}',
            sequence=self.sequence,
            zone=self.zone,
            address=self.address,
            leaving=False,
            store_unreachable=False,
            orders_end=7,
        )

    async def run(self, seeds, store):
        """Run the host."""
        facts = self.make_facts()
        self.table = HostFactTable(facts.host, self.zone)
        socket = GossipSocket(self.network.open(self.address, self.zone), 1)
        registry = HostRegistry(
            register=partial(store.register, self),
            list_hosts=store.list_hosts,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive, socket)
            nursery.start_soon(self._send, socket)
            await join_hosts(
                Joining(
                    table=self.table,
                    gossip_socket=socket,
                    registry=registry,
                    seeds=seeds,
                    own_address=self.address,
                    make_facts=self.make_facts,
                    on_failure=store.failures.append,
                    timers=self.timers,
                    random=self.network.random,
                )
            )

    async def _receive(self, socket):
        await receive_gossip(
            self.table, socket, on_facts=lambda facts: None, timers=self.timers
        )

    async def _send(self, socket):
        await send_gossip(
            self.table,
            socket,
            make_facts=self.make_facts,
            is_urgent=lambda: False,
            timers=self.timers,
            random=self.network.random,
        )


def make_hosts(network, count, zones):
    timers = Timers(epoch_offset=0)
    return [
        Host(number, ZONES[number % zones], network, timers)
        for number in range(count)
    ]


async def run_hosts(hosts, *, duration, store, late=(), seeds=None):
    """Start all hosts within 0.3 s, and the late ones after four seconds."""
    known_seeds = [host.address for host in hosts[:3]]
    random = hosts[0].network.random
    with trio.move_on_after(duration):
        async with trio.open_nursery() as nursery:
            for host in hosts:
                nursery.start_soon(
                    host.run, known_seeds if seeds is None else seeds, store
                )
                await trio.sleep(random.random() * 0.6 / len(hosts))
            await trio.sleep(4)
            for host in late:
                nursery.start_soon(host.run, known_seeds, store)


def count_known(host):
    return len(host.table.list_peers(trio.current_time())) + 1


@pytest.mark.parametrize('loss', [0, 0.1, 0.3])
@pytest.mark.parametrize(
    ('count', 'zones'), [(1, 1), (2, 2), (9, 3), (30, 3), (50, 5)]
)
async def test_all_hosts_learn_of_one_another(
    autojump_clock, count, zones, loss
):
    network = Network(Random(7), loss)
    hosts = make_hosts(network, count, zones)
    await run_hosts(hosts, duration=12, store=Store())
    assert {count_known(host) for host in hosts} == {count}
    leaders = {
        (zone, host.table.find_leader(zone, trio.current_time()))
        for host in hosts
        for zone in ZONES[:zones]
    }
    names = {(zone, leader.host) for zone, leader in leaders if leader}
    assert len(names) == zones or loss


@pytest.mark.parametrize('seeds', [[], ['10.9.9.9']])
@pytest.mark.parametrize(('count', 'zones'), [(9, 3), (50, 5)])
async def test_hosts_without_seeds_find_one_another(
    autojump_clock, count, zones, seeds
):
    network = Network(Random(7))
    hosts = make_hosts(network, count, zones)
    await run_hosts(hosts, duration=40, store=Store(), seeds=seeds)
    assert {count_known(host) for host in hosts} == {count}


async def test_hosts_that_start_in_an_outage_find_one_another(autojump_clock):
    network = Network(Random(7))
    hosts = make_hosts(network, 30, 3)
    store = Store(is_down=True)
    await run_hosts(hosts, duration=12, store=store)
    assert {count_known(host) for host in hosts} == {30}
    assert store.failures


@pytest.mark.parametrize('number', [0, 5, 47])
@pytest.mark.parametrize('is_down', [True, False])
async def test_a_host_that_starts_late_learns_of_all(
    autojump_clock, number, is_down
):
    """Also one that knows the seeds only, as the store is down."""
    network = Network(Random(7))
    hosts = make_hosts(network, 48, 4)
    late = hosts.pop(number)
    store = Store(is_down=is_down)
    await run_hosts(hosts, duration=7, store=store, late=[late])
    assert count_known(late) == 48
    assert {count_known(host) for host in hosts} == {48}


async def measure_start(count):
    """Return the datagrams and remote bytes of each host, and all calls."""
    network = Network(Random(7))
    store = Store()
    await run_hosts(make_hosts(network, count, 5), duration=5, store=store)
    return network.datagrams / count, network.remote_bytes / count, store.calls


async def test_cost_of_a_start_does_not_grow_with_the_hosts(autojump_clock):
    """Datagrams within a zone grow with its hosts, but not with their square."""
    few_datagrams, few_bytes, few_calls = await measure_start(20)
    many_datagrams, many_bytes, many_calls = await measure_start(80)
    assert many_bytes < 1.5 * few_bytes
    assert many_datagrams < 1.5 * 4 * few_datagrams
    assert many_calls < 2 * few_calls


@pytest.mark.parametrize(
    ('registered', 'known', 'contacts'),
    [
        ([], [], 0),
        ([('1', 'a'), ('2', 'a')], ['1'], 1),
        ([(str(number), 'a') for number in range(40)], [], 4),
        ([('1', 'a'), ('2', 'b'), ('3', 'c')], [], 3),
        # Hosts of an earlier build register without a zone.
        ([(str(number), '') for number in range(40)], [], 4),
    ],
)
def test_contacts_of_a_host_that_has_started(registered, known, contacts):
    selected = select_contacts(
        [RegisteredHost(*host) for host in registered],
        known=frozenset(known),
        random=Random(1),
    )
    assert len(selected) == len(set(selected)) == contacts
    assert not set(selected) & set(known)
