"""Strict revocation over a deployment: hosts, zones and the store, simulated.

Guards against keys that work for too long on hosts that are cut off, against
hosts that become stale in normal operation or as the leader of their zone
fails, and against calls to the store that grow with the hosts.
"""

from collections import Counter
from functools import partial
from random import Random
from types import SimpleNamespace

import attrs
import pytest
import trio
from platform_samples import make_entry
from test_gossip import make_facts, make_listing
from test_gossip import make_request as make_shared_request
from test_shared_listings import Link, make_large_listing

from ebonystream._address import ServerAddress
from ebonystream._timers import Timers
from ebonystream.entryhost._lease import is_fresh
from ebonystream.entryhost._peer_fetch import fetch_from_peers
from ebonystream.entryhost._store_sync import StoreReader, sync_orders
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.gossip import HostFactTable
from ebonystream.gossip._shared import make_shared_handler
from ebonystream.gossip._shared_encoding import decode_shared
from ebonystream.ingress import CallerPresence
from ebonystream.orders import Orders, OrdersPosition
from ebonystream.roster import Roster
from ebonystream.workspace import Workspace

REVOKE_S = 5.0
ZONES = 'abc'
HOSTS_PER_ZONE = 8
SETTLED_S, EVENT_S, END_S = 4, 10, 24
LINK_S, STORE_S = 0.01, 0.05


class Simulation:
    """Hosts, their links, and the store."""

    def __init__(self, hosts_per_zone=HOSTS_PER_ZONE, make=make_listing):
        self.hosts = {}
        self.make_listing = make
        self.store_s = STORE_S
        self.end = 1
        self.changed = trio.Event()
        self.calls = Counter()
        self.dead, self.frozen = set(), set()
        self.cut_from_store, self.cut_zones = set(), set()
        for number in range(len(ZONES) * hosts_per_zone):
            zone = ZONES[number // hosts_per_zone]
            self.hosts[f'e{number}'] = self.make_host(f'e{number}', zone)

    def make_host(self, name, zone):
        """Make one host; the boot clocks of hosts have nothing in common."""
        start = Random(name).uniform(0, 1e6)
        orders, roster = Orders(), Roster()
        timers = Timers(
            epoch_offset=0, boot_clock=lambda: trio.current_time() + start
        )
        return SimpleNamespace(
            orders=orders,
            roster=roster,
            facts=HostFactTable(name, zone),
            timers=timers,
            random=Random(name),
            settings=SimpleNamespace(
                name=name,
                zone=zone,
                peer_endpoint=ServerAddress('10.0.0.1', 1),
                limits=SimpleNamespace(revoke=REVOKE_S, apply_time=REVOKE_S),
            ),
            log_event=lambda event, **fields: None,
            orders_source=None,
            orders_announced=trio.Event(),
            orders_wait_scope=None,
            store_latency=0.0,
            started_at=0.0,
            has_read=lambda: orders.listing is not None,
            link=Link(LINK_S),
            respond=make_shared_handler(
                orders=orders, roster=roster, source=name, timers=timers
            ),
        )

    def is_running(self, host):
        """Return whether a host runs now."""
        return host.settings.name not in self.dead | self.frozen

    def can_reach(self, host, other):
        """Return whether packets pass between two hosts."""
        zones = {host.settings.zone, other.settings.zone}
        return len(zones) == 1 or not zones & self.cut_zones

    async def call_store(self, host):
        """Count a call to the store and wait for its response."""
        self.calls[host.settings.name] += 1
        if host.settings.zone in self.cut_from_store:
            await trio.sleep(1.5)
            raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, 'no answer')
        await trio.sleep(self.store_s)

    def make_reader(self, host):
        """Make the functions by which a host reads the store."""

        async def list_orders():
            await self.call_store(host)
            listing = self.make_listing(version=self.end, end=self.end)
            await trio.sleep(self.store_s)
            return listing

        async def wait_for_orders(known_end, wait):
            await self.call_store(host)
            with trio.move_on_after(wait):
                while self.end <= known_end:
                    await self.changed.wait()
            found = OrdersPosition(end=self.end)
            await trio.sleep(self.store_s)
            return found

        return StoreReader(
            list_orders=list_orders,
            wait_for_orders=wait_for_orders,
            list_entries=None,
            check_store=None,
        )

    def make_fetch(self, host):
        """Make the function by which a host fetches from others."""

        async def fetch(at, request):
            other = self.hosts[f'e{at.address.rpartition(".")[2]}']
            await trio.sleep(LINK_S)
            if other.settings.name in self.dead:
                return None
            if not (self.is_running(other) and self.can_reach(host, other)):
                await trio.sleep_forever()
            response = await other.respond(
                make_shared_request(request),
                trio.current_time(),
                CallerPresence(),
            )
            await other.link.transfer(len(response.content))
            return decode_shared(response.content.partition(b'\r\n\r\n')[2])

        return fetch

    async def gossip(self):
        """Exchange facts, and confirm the entries of servers."""
        sequence = 0
        while True:
            sequence += 1
            now = trio.current_time()
            for host in self.hosts.values():
                host.roster.apply_listing([make_entry()], now)
                for other in self.hosts.values():
                    if self.is_running(other) and self.can_reach(host, other):
                        facts = make_facts(
                            other.settings.name,
                            number=sequence,
                            zone=other.settings.zone,
                        )
                        host.facts.update(facts, now)
            await trio.sleep(0.5)

    def withdraw(self):
        """Append a configuration to the store."""
        self.end += 1
        self.changed.set()
        self.changed = trio.Event()

    async def run(self, change):
        """Run the deployment; return the hosts that were stale, by time."""
        stale = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.gossip)
            await trio.sleep(0.01)
            for host in self.hosts.values():
                nursery.start_soon(sync_orders, host, self.make_reader(host))
                nursery.start_soon(
                    fetch_from_peers, host, self.make_fetch(host)
                )
            while trio.current_time() < END_S:
                await trio.sleep(0.1)
                now = trio.current_time()
                if now >= EVENT_S and change is not None:
                    change(self)
                    change = None
                if now < SETTLED_S:
                    self.calls.clear()
                    continue
                stale += [
                    (name, host.orders.end, now)
                    for name, host in self.hosts.items()
                    if self.is_running(host) and not is_fresh(host)
                ]
                if now >= EVENT_S + REVOKE_S:
                    assert not self.list_outdated()
            nursery.cancel_scope.cancel()
        return stale

    def list_outdated(self):
        """List hosts that judge keys by a configuration that was replaced."""
        return [
            name
            for name, host in self.hosts.items()
            if host.orders.end < self.end and is_fresh(host)
        ]


def do_nothing(simulation):
    """Change nothing."""


def withdraw_a_key(simulation):
    """Append a configuration."""
    simulation.withdraw()


def kill_leader(simulation):
    """Kill the leader of a zone, and append a configuration."""
    simulation.dead.add('e0')
    simulation.withdraw()


def freeze_leader(simulation):
    """Freeze the leader of a zone, which still accepts connections."""
    simulation.frozen.add('e0')


def cut_zone_from_store(simulation):
    """Cut a zone from the store, but not from the other zones."""
    simulation.cut_from_store.add('a')
    simulation.withdraw()


@pytest.mark.parametrize(
    'change',
    [
        do_nothing,
        withdraw_a_key,
        kill_leader,
        freeze_leader,
        cut_zone_from_store,
    ],
)
async def test_hosts_stay_fresh(autojump_clock, change):
    simulation = Simulation()
    assert await simulation.run(change) == []
    # Hosts that do not lead a zone leave the store alone: e1 takes over from
    # e0. A leader, the host with the lowest name, polls about once a second.
    leaders = {'e0', 'e1', 'e10', 'e16'}
    assert set(simulation.calls) <= leaders
    assert max(simulation.calls.values()) <= 1.2 * (END_S - SETTLED_S)


@pytest.mark.parametrize('change', [do_nothing, kill_leader])
@pytest.mark.parametrize('store_s', [0.3, 0.6])
async def test_hosts_stay_fresh_with_a_slow_store(
    autojump_clock, store_s, change
):
    """The store takes up to 1.2 s for a response; calls end after 1.5 s."""
    simulation = Simulation()
    simulation.store_s = store_s
    assert await simulation.run(change) == []
    assert sum(simulation.calls.values()) <= 4 * (END_S - SETTLED_S)


async def test_a_zone_that_is_cut_off_stops_judging_keys(autojump_clock):
    # Some orders are newer: no host of the zone judges keys by its old ones.
    def cut_off(simulation):
        simulation.cut_from_store.add('a')
        simulation.cut_zones.add('a')
        simulation.withdraw()

    simulation = Simulation()
    stale = await simulation.run(cut_off)
    first = min(now for _, _, now in stale)
    assert {name for name, _, _ in stale} == {f'e{n}' for n in range(8)}
    assert EVENT_S + 1.5 < first <= EVENT_S + REVOKE_S


async def slow_store(simulation, host, delay_s):
    """Read the orders once, and poll once, from a store that is slow."""
    reader = simulation.make_reader(host)

    async def delay(call, *arguments):
        response = await call(*arguments)
        await trio.sleep(delay_s)
        return response

    slow = StoreReader(
        list_orders=partial(delay, reader.list_orders),
        wait_for_orders=partial(delay, reader.wait_for_orders),
        list_entries=None,
        check_store=None,
    )
    await sync_orders(host, slow)


@pytest.mark.parametrize('delay_s', [0, 1.3])
@pytest.mark.parametrize('is_polled', [False, True])
async def test_age_counts_from_the_question(autojump_clock, delay_s, is_polled):
    # Guards against a proof that is as old as the response took.
    simulation = Simulation()
    host = simulation.hosts['e0']
    if is_polled:
        host.orders.update(make_listing(version=1, end=1), 0.0)
    before = host.timers.boot_now()
    with trio.move_on_after(1.3 + delay_s):
        await slow_store(simulation, host, delay_s)
    age = host.orders.freshness.get_age(host.timers.boot_now())
    assert delay_s < age <= host.timers.boot_now() - before


@pytest.mark.parametrize('delay_s', [0, 0.2])
async def test_proof_of_another_host_keeps_its_age(autojump_clock, delay_s):
    simulation = Simulation()
    source, host = simulation.hosts['e0'], simulation.hosts['e1']
    source.orders.update(make_listing(version=1, end=1), 0.0)
    source.orders.confirm_newest(
        OrdersPosition(end=1), source.timers.boot_now()
    )
    host.orders.update(make_listing(version=1, end=1), 0.0)
    fetch = simulation.make_fetch(host)

    async def fetch_slowly(at, request):
        shared = await fetch(at, request)
        await trio.sleep(delay_s)
        return shared

    await trio.sleep(2)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(simulation.gossip)
        nursery.start_soon(fetch_from_peers, host, fetch_slowly)
        await trio.sleep(3)
        nursery.cancel_scope.cancel()
    ages = [
        each.orders.freshness.get_age(each.timers.boot_now())
        for each in (source, host)
    ]
    # Never younger than where it came from, and little older.
    assert ages[0] <= ages[1] <= ages[0] + LINK_S + 1e-6


MANY_KEYS, APPLY_S = 10_000, 2.0


def make_keys_listing(end, version):
    """Make a listing with many routes and 10,000 digests of keys."""
    listing = make_large_listing(end, version)
    random = Random(end)
    workspaces = tuple(
        Workspace(
            name=f'w{number}',
            digests=frozenset(random.randbytes(16) for _ in range(100)),
        )
        for number in range(MANY_KEYS // 100)
    )
    configuration = attrs.evolve(listing.configuration, workspaces=workspaces)
    return attrs.evolve(listing, configuration=configuration)


@pytest.mark.parametrize('hosts_per_zone', [8, 34])
async def test_many_keys_are_in_force_in_time(autojump_clock, hosts_per_zone):
    # Guards against hosts of a zone that all fetch from one, whose link they
    # share, so that each fetch times out and none ever ends.
    simulation = Simulation(hosts_per_zone, make=make_keys_listing)
    applied = {}

    async def watch():
        while len(applied) < len(simulation.hosts):
            await trio.sleep(0.05)
            for name, host in simulation.hosts.items():
                if host.orders.end > 1:
                    applied.setdefault(name, trio.current_time())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        stale = await simulation.run(withdraw_a_key)
        nursery.cancel_scope.cancel()
    latest = max(applied.values()) - EVENT_S
    assert stale == []
    assert latest <= APPLY_S
