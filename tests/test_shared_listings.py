"""A large change reaches all hosts of a zone from one of them, in time."""

from random import Random
from types import SimpleNamespace

import attrs
import pytest
import trio
import trio.lowlevel
from platform_samples import make_entry, make_route
from test_gossip import make_facts, make_listing, make_request

from ebonystream._address import ServerAddress
from ebonystream._timers import Timers
from ebonystream.entryhost._peer_fetch import fetch_from_peers
from ebonystream.gossip import (
    HostFactTable,
    SharedOrders,
    SharedResponse,
    make_fetch_shared,
)
from ebonystream.gossip._shared import make_shared_handler
from ebonystream.http1 import make_response_reader
from ebonystream.ingress import CallerPresence
from ebonystream.link._exchange import RESPONSE_LIMITS
from ebonystream.orders import Orders
from ebonystream.roster import Roster
from ebonystream.route import index_routes

HOSTS = [f'e{number:02}' for number in range(24)]
LINK_BYTES_PER_S = 2_500_000
"""A link of 20 Mbit/s."""
ROUTES = 1028
BOUND_S = 2.0
"""The bound on a configuration, less half a second to read the store."""


def make_large_listing(end, version):
    random = Random(end)
    routes = [
        make_route(
            name=f'r-{random.randrange(1 << 40):x}',
            prefix=f'/{random.randrange(1 << 40):x}/',
        )
        for _ in range(ROUTES)
    ]
    listing = make_listing(version=version, end=end)
    return attrs.evolve(
        listing,
        configuration=attrs.evolve(
            listing.configuration, routes=index_routes(routes)
        ),
    )


class Link:
    """The link of one host, which its transfers share."""

    def __init__(self, latency_s):
        self.latency_s = latency_s
        self.transfers = 0

    async def transfer(self, size):
        """Wait until so many bytes are sent, beside the other transfers."""
        self.transfers += 1
        try:
            await trio.sleep(self.latency_s)
            while size > 0:
                await trio.sleep(0.01)
                size -= 0.01 * LINK_BYTES_PER_S / self.transfers
        finally:
            self.transfers -= 1


def make_host(name, table):
    """Make the parts of one host that fetching uses."""
    orders, roster = Orders(), Roster()
    return SimpleNamespace(
        orders=orders,
        roster=roster,
        facts=table,
        timers=Timers(epoch_offset=0),
        random=Random(name),
        settings=SimpleNamespace(
            name=name,
            zone='a',
            peer_endpoint=ServerAddress('10.0.0.1', 1),
            limits=SimpleNamespace(revoke=None),
        ),
        log_event=lambda event, **fields: None,
        orders_source=None,
        orders_announced=trio.Event(),
        has_read=lambda: orders.listing is not None,
    )


@pytest.mark.parametrize('latency_s', [0.001, 0.4])
async def test_a_large_configuration_is_in_force_in_time(
    autojump_clock, latency_s
):
    # Guards against fetches that all time out, as many hosts fetch a large
    # change from one, and start anew (CONFIG).
    leader_orders, leader_roster = Orders(), Roster()
    leader_orders.update(make_large_listing(1, 1), 0.0)
    leader_roster.apply_listing([make_entry()], 0.0)
    link = Link(latency_s)
    respond = make_shared_handler(
        orders=leader_orders,
        roster=leader_roster,
        source='1',
        timers=Timers(epoch_offset=0),
    )

    async def exchange(at, request, matches):
        body = request.partition(b'\r\n\r\n')[2]
        response = await respond(
            make_request(None, body), trio.current_time(), CallerPresence()
        )
        await link.transfer(len(response.content))
        reader = make_response_reader(RESPONSE_LIMITS)
        reader.feed(response.content)
        return reader.next_message()

    table = HostFactTable('none', 'a')
    hosts = [make_host(name, table) for name in HOSTS[1:]]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_heard, table)
        fetch = make_fetch_shared(exchange=exchange)
        for host in hosts:
            nursery.start_soon(fetch_from_peers, host, fetch)
        await trio.sleep(8)
        leader_orders.update(make_large_listing(2, 2), trio.current_time())
        await trio.sleep(BOUND_S)
        versions = {
            host.orders.configuration and host.orders.configuration.version
            for host in hosts
        }
        nursery.cancel_scope.cancel()
    assert versions == {2}


async def keep_heard(table, others=()):
    """Keep all hosts alive in the table of facts; others are of zone b."""
    sequence = 0
    while True:
        sequence += 1
        now = trio.current_time()
        for name in HOSTS:
            table.update(make_facts(name, number=sequence), now)
        for name in others:
            table.update(make_facts(name, number=sequence, zone='b'), now)
        await trio.sleep(0.5)


@pytest.mark.parametrize('response_time_s', [0, 99])
async def test_another_host_is_fetched_from(autojump_clock, response_time_s):
    # Guards against a configuration that is late, as the host that reads the
    # store for its zone is gone, or frozen, and still taken for alive (CONFIG).
    host = make_host('e09', HostFactTable('e09', 'a'))
    host.roster.apply_listing([make_entry()], 0.0)
    host.orders.update(make_listing(version=1, end=1), 0.0)
    fetched = []

    async def fetch(at, request):
        fetched.append(at.address)
        if at.address == '10.0.0.00':
            await trio.sleep(response_time_s)
            return None
        listing = make_listing(version=2, end=2)
        return SharedResponse(
            source='1', orders=SharedOrders(0.0, listing), entries=None
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_heard, host.facts, ['f77'])
        nursery.start_soon(fetch_from_peers, host, fetch)
        await trio.sleep(1)
        nursery.cancel_scope.cancel()
    assert host.orders.configuration.version == 2
    assert set(fetched) == {'10.0.0.00', '10.0.0.77'}


async def test_hosts_that_are_gone_are_asked_now_and_then(autojump_clock):
    # Guards against a host that does little else, as all others are gone.
    host = make_host('e09', HostFactTable('e09', 'a'))
    host.roster.apply_listing([make_entry()], 0.0)
    host.orders.update(make_listing(version=1, end=1), 0.0)
    fetched = []

    async def fetch(at, request):
        fetched.append(at.address)
        await trio.lowlevel.checkpoint()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_heard, host.facts, ['f77'])
        nursery.start_soon(fetch_from_peers, host, fetch)
        await trio.sleep(10)
        nursery.cancel_scope.cancel()
    # Three a second, and a few more at first.
    assert len(fetched) < 40
