"""Entry hosts without processes: real state and tasks, simulated network.

They read the stand-in of the store through the client of the product, fetch
from each other, and gossip.
"""

from functools import partial
from random import Random

import trio
from test_entry_host import LIMITS, ROUTE, SERVICE

from ebonystream._address import ServerAddress
from ebonystream._timers import Timers
from ebonystream.entryhost._gossip import make_facts, receive_facts, send_facts
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._peer_fetch import fetch_from_peers
from ebonystream.entryhost._settings import HostLimits, HostSettings
from ebonystream.entryhost._store import make_store_reader
from ebonystream.entryhost._store_sync import sync_orders, sync_servers
from ebonystream.gossip import GossipSocket, HostFactTable, make_fetch_shared
from ebonystream.gossip._shared import make_shared_handler
from ebonystream.http1 import Message, ReaderLimits, make_response_reader
from ebonystream.ingress import CallerPresence
from ebonystream.link import ExchangeFailure
from ebonystream.placement import ColdLimits
from ebonystream.platform import StoreClient
from ebonystream.suspects import SuspectExchange, SuspectTable
from standins.platformstore import PlatformStore

CONNECT_S, CALL_S, LINK_S = 0.5, 0.004, 0.01
OPERATORS = 'keyed.op'
STORE_ADDRESS = ServerAddress('10.0.0.250', 80)
PEERS_PORT = 7000
READER_LIMITS = ReaderLimits(head_bytes=99_999, body_bytes=9_999_999)


def make_settings(name, zone, address):
    endpoint = ServerAddress(address, PEERS_PORT)
    return HostSettings(
        name=name,
        zone=zone,
        caller_endpoint=endpoint,
        readiness_endpoint=endpoint,
        peer_endpoint=endpoint,
        seeds=(),
        store_endpoint=STORE_ADDRESS,
        limits=HostLimits(
            shutdown_grace=5,
            retry_ratio=0.1,
            base_retries=40,
            retry_window=10,
            probe_rate=50,
            cold_limits=ColdLimits(overshoot=1.5, slack=5),
            response_buffer_bytes=1000,
        ),
    )


def make_document(version):
    """Make a configuration in the format of the platform."""
    service = {
        'health_path': '/health',
        'max_conns': 99,
        'cold_start': '0ms',
        'cold_per_s': 3,
    }
    resources = [
        {
            'resource_kind': 'routes',
            'metadata': {'name': 'racks'},
            'spec': ROUTE,
        },
        {
            'resource_kind': 'services',
            'metadata': {'name': SERVICE},
            'spec': service,
        },
        {'resource_kind': 'limits', 'metadata': {}, 'spec': LIMITS},
    ]
    return {'version': version, 'resources': resources}


class SimulatedSocket:
    """The socket for gossip of one host."""

    def __init__(self, deployment, name):
        self.deployment, self.name = deployment, name
        self.send, self.receive = trio.open_memory_channel(9999)

    async def sendto(self, content, at):
        """Deliver a datagram, unless the hosts do not reach each other."""
        other = self.deployment.names[at[0]]
        await trio.lowlevel.checkpoint()
        if self.deployment.can_reach(self.name, other):
            sender = self.deployment.addresses[self.name]
            socket = self.deployment.sockets[other]
            socket.send.send_nowait((content, (sender, PEERS_PORT)))

    async def recvfrom(self, size):
        """Return the oldest datagram."""
        return await self.receive.receive()


class StoreDeployment:
    """Entry hosts, and the store that they read.

    A host in `isolated` reaches neither the store nor other hosts.
    """

    def __init__(self, zones=('a', 'a', 'b')):
        self.store = PlatformStore()
        self.isolated = set()
        self.calls = []
        self.events = []
        self.hosts, self.sockets = {}, {}
        self.addresses, self.names = {}, {}
        self.zones = {f'e{number}': zone for number, zone in enumerate(zones)}

    def configure(self, version):
        """Write a configuration."""
        self.store.put(OPERATORS, 'config', make_document(version))

    def can_reach(self, name, other):
        """Return whether packets pass between two hosts."""
        return not {name, other} & self.isolated

    async def start(self, nursery):
        """Start all hosts."""
        for number, name in enumerate(self.zones):
            self.addresses[name] = f'10.0.0.{number + 1}'
            self.names[f'10.0.0.{number + 1}'] = name
            self.hosts[name] = self._make_host(name, nursery)
            self.sockets[name] = SimulatedSocket(self, name)
        for name, host in self.hosts.items():
            for other in self.hosts.values():
                host.facts.update(make_facts(other), host.timers.now())
            self._start_tasks(nursery, name, host)

    def list_versions(self):
        """List the versions of the configuration that are in force."""
        return {
            name: host.orders.configuration.version
            for name, host in self.hosts.items()
        }

    def list_events(self, kind):
        """List the events of a kind, with the hosts that logged them."""
        return [
            (name, fields)
            for name, event, fields in self.events
            if event == kind
        ]

    def _make_host(self, name, nursery):
        timers = Timers(epoch_offset=0)
        suspects = SuspectTable(timers)

        def log_event(event, **fields):
            self.events.append((name, event, fields))

        return HostParts(
            settings=make_settings(
                name, self.zones[name], self.addresses[name]
            ),
            timers=timers,
            random=Random(name),
            log_event=log_event,
            log_buffer=None,
            background=nursery,
            server_pool=None,
            facts=HostFactTable(name, self.zones[name]),
            suspects=suspects,
            suspect_exchange=SuspectExchange(suspects, timers, Random(name)),
            incarnation=f'run-{name}',
        )

    def _start_tasks(self, nursery, name, host):
        call_store = partial(self._call_store, name)
        store = StoreClient(STORE_ADDRESS, call_store, self.count_call)
        reader = make_store_reader(host, store)
        gossip_socket = GossipSocket(self.sockets[name], PEERS_PORT)
        fetch = make_fetch_shared(exchange=partial(self._call_host, name))
        nursery.start_soon(sync_orders, host, reader)
        nursery.start_soon(sync_servers, host, reader)
        nursery.start_soon(fetch_from_peers, host, fetch)
        nursery.start_soon(send_facts, host, gossip_socket)
        nursery.start_soon(receive_facts, host, gossip_socket)

    def count_call(self, call):
        """Keep the time of a call of the store."""
        self.calls.append((trio.current_time(), call))

    async def _call_store(self, name, at, request, is_own):
        if name in self.isolated:
            await trio.sleep(CONNECT_S)
            return ExchangeFailure.UNREACHABLE
        await trio.sleep(CALL_S)
        response = await self.store.respond(
            parse_request(request), trio.current_time(), CallerPresence()
        )
        if name in self.isolated:
            await trio.sleep_forever()
        return parse_response(response.content)

    async def _call_host(self, name, at, request, is_own):
        other = self.names[at.address]
        await trio.sleep(LINK_S)
        if not self.can_reach(name, other):
            await trio.sleep_forever()
        host = self.hosts[other]
        respond = make_shared_handler(
            orders=host.orders,
            roster=host.roster,
            source=host.incarnation,
            timers=host.timers,
        )
        response = await respond(
            parse_request(request), trio.current_time(), CallerPresence()
        )
        await trio.sleep(LINK_S)
        return parse_response(response.content)


def parse_request(content):
    """Parse a request of the product."""
    head, _, body = content.partition(b'\r\n\r\n')
    method, target, _ = head.split(b' ', 2)
    return Message(
        target=target,
        headers=(),
        body=body,
        keep_alive=True,
        method=method,
        status=0,
    )


def parse_response(content):
    """Parse the response to a call."""
    reader = make_response_reader(READER_LIMITS)
    reader.feed(content)
    return reader.next_message()
