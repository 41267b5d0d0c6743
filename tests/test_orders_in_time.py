"""Orders are in force in time on each host that reaches the store, simulated.

Guards against a host that takes the silence of its peers for agreement: it has
the store, but reads it only after the bound of a configuration (CONFIG).
"""

from functools import partial

import attrs
import pytest
import trio
from platform_samples import make_entry
from test_gossip import make_facts
from test_zone_freshness import ZONES, Simulation

from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._peer_fetch import fetch_from_peers
from ebonystream.entryhost._store_sync import sync_orders, sync_servers
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.roster import EntriesListing

APPLY_S = 2.0
CONNECT_S, CALL_S, STORE_S = 0.5, 1.5, 0.004
SETTLED_S, OUTAGE_S, AFTER_OUTAGE_S = 8, 12, 6
LEADS_S = [0, 0.3, 1, 2, 5]
OTHERS = 4
"""Hosts of the other zones, and of the zone itself, that a host may lose."""


class Deployment(Simulation):
    """Hosts with their store and links, each of which may fail."""

    def __init__(self, hosts_per_zone=OTHERS + 1):
        super().__init__(hosts_per_zone)
        self.store_s = STORE_S
        self.without_store, self.without_peers = set(), set()
        self.without_fetches = set()
        self.events = []
        for name, host in self.hosts.items():
            host.name = name
            host.store_unreachable = False
            host.settings.limits.revoke = None
            host.settings.limits.apply_time = APPLY_S
            host.has_read = partial(has_read, host)
            host.cancel_orders_wait = partial(
                HostParts.cancel_orders_wait, host
            )
            host.log_event = partial(self.log_event, name)

    def log_event(self, name, event, **fields):
        """Keep an event of a host."""
        self.events.append((trio.current_time(), name, event, fields))

    def can_reach(self, host, other):
        """Return whether packets pass between two hosts."""
        names = {host.settings.name, other.settings.name}
        return len(names) == 1 or not names & self.without_peers

    async def call_store(self, host):
        """Count a call to the store and wait for its response."""
        self.calls[host.settings.name] += 1
        if host.settings.name in self.without_store:
            await trio.sleep(CONNECT_S)
            raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, 'unreachable')
        await trio.sleep(self.store_s)

    def make_reader(self, host):
        """Make the functions by which a host reads the store."""
        reader = super().make_reader(host)

        async def wait_for_orders(known_end, wait):
            """Wait; a cut that comes meanwhile leaves the call unanswered."""
            end = await reader.wait_for_orders(known_end, wait)
            if host.settings.name in self.without_store:
                await trio.sleep(CALL_S)
                raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, 'no answer')
            return end

        async def list_entries():
            await self.call_store(host)
            return EntriesListing((make_entry(),))

        async def check_store():
            await self.call_store(host)

        return attrs.evolve(
            reader,
            wait_for_orders=wait_for_orders,
            list_entries=list_entries,
            check_store=check_store,
        )

    def make_fetch(self, host):
        """Make the function by which a host fetches from others."""
        fetch = super().make_fetch(host)

        async def fetch_if_possible(at, request):
            if host.settings.name in self.without_fetches:
                await trio.sleep_forever()
            return await fetch(at, request)

        return fetch_if_possible

    async def gossip(self):
        """Exchange facts; hosts hear of orders that they do not have."""
        sequence = 0
        while True:
            sequence += 1
            for host in self.hosts.values():
                for other in self.hosts.values():
                    if self.is_running(other) and self.can_reach(host, other):
                        self.tell(host, other, sequence)
            await trio.sleep(0.5)

    def tell(self, host, other, sequence):
        """Give a host the facts of another one."""
        facts = make_facts(
            other.settings.name,
            number=sequence,
            zone=other.settings.zone,
            store_unreachable=other.store_unreachable,
            orders_end=other.orders.end,
            proof_age=other.orders.freshness.get_age(other.timers.boot_now()),
        )
        host.facts.update(facts, trio.current_time())
        if facts.orders_end > host.orders.end:
            host.cancel_orders_wait()
            HostParts.request_orders_from(host, facts)

    async def measure(self, trouble, lead_s):
        """Append orders after a trouble; return when each host had them."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.gossip)
            await trio.sleep(0.01)
            for host in self.hosts.values():
                reader = self.make_reader(host)
                nursery.start_soon(sync_orders, host, reader)
                nursery.start_soon(sync_servers, host, reader)
                nursery.start_soon(
                    fetch_from_peers, host, self.make_fetch(host)
                )
            await trio.sleep(SETTLED_S)
            await trouble(self)
            await trio.sleep(lead_s)
            self.withdraw()
            delays = await self.watch(trio.current_time())
            nursery.cancel_scope.cancel()
        return delays

    async def watch(self, appended_at):
        """Return the delays of the hosts, infinite where it takes too long."""
        watched = {
            name: host
            for name, host in self.hosts.items()
            if self.is_running(host)
        }
        delays = dict.fromkeys(watched, float('inf'))
        while trio.current_time() - appended_at < 2 * APPLY_S:
            await trio.sleep(0.02)
            for name, host in watched.items():
                if host.orders.end >= self.end:
                    delay = trio.current_time() - appended_at
                    delays[name] = min(delays[name], delay)
        return delays


def has_read(host):
    """Return whether a host has orders and entries of servers."""
    return HostParts.has_read(host)


def list_readers(deployment):
    """List the host of each zone that reads the store for it."""
    now = trio.current_time()
    table = next(iter(deployment.hosts.values())).facts
    return {table.find_leader(zone, now).host for zone in ZONES}


async def do_nothing(deployment):
    """Leave all as it is."""


async def cut_a_host_from_its_peers(deployment):
    """A host hears nobody and nobody hears it; it has the store."""
    deployment.without_peers.add('e3')


async def cut_the_fetches_of_a_host(deployment):
    """A host hears all others, but gets no answer from them."""
    deployment.without_fetches.add('e3')


async def freeze_all_others(deployment):
    """One host goes on alone; it reads the store for nobody."""
    deployment.frozen.update(set(deployment.hosts) - {'e3'})


async def cut_the_readers_from_the_store(deployment):
    """The hosts that read the store for the others lose it."""
    deployment.without_store.update(list_readers(deployment))


async def cut_a_zone_from_the_store(deployment):
    """No host of a zone has the store; all have their peers."""
    deployment.without_store.update(
        name
        for name, host in deployment.hosts.items()
        if host.settings.zone == 'a'
    )


async def end_an_outage(deployment):
    """All hosts lose the store and have it again."""
    deployment.without_store.update(deployment.hosts)
    await trio.sleep(OUTAGE_S)
    deployment.without_store.clear()
    await trio.sleep(AFTER_OUTAGE_S)


async def cut_a_host_after_an_outage(deployment):
    """A host loses its peers after all had lost the store."""
    await end_an_outage(deployment)
    await cut_a_host_from_its_peers(deployment)


async def cut_the_readers_after_an_outage(deployment):
    """The readers lose the store after all had lost it."""
    await end_an_outage(deployment)
    await cut_the_readers_from_the_store(deployment)


async def cut_the_fetches_after_an_outage(deployment):
    """A host gets nothing from its peers after all had lost the store."""
    await end_an_outage(deployment)
    await cut_the_fetches_of_a_host(deployment)


async def freeze_all_others_as_the_store_turns_two_away(deployment):
    """Peers that the store had turned away stand still, and so do the rest."""
    deployment.without_store.update(('e1', 'e2'))
    await trio.sleep(OUTAGE_S)
    await freeze_all_others(deployment)


TROUBLES = [
    do_nothing,
    cut_a_host_from_its_peers,
    cut_the_fetches_of_a_host,
    freeze_all_others,
    cut_the_readers_from_the_store,
    cut_a_zone_from_the_store,
    end_an_outage,
    cut_a_host_after_an_outage,
    cut_the_readers_after_an_outage,
    freeze_all_others_as_the_store_turns_two_away,
]


@pytest.mark.parametrize('lead_s', LEADS_S)
@pytest.mark.parametrize('trouble', TROUBLES)
async def test_a_host_that_reaches_the_store_is_current_in_time(
    autojump_clock, trouble, lead_s
):
    deployment = Deployment()
    delays = await deployment.measure(trouble, lead_s)
    late = {name: at for name, at in delays.items() if at > APPLY_S}
    assert late == {}


@pytest.mark.parametrize('lead_s', [0, 1, 3])
async def test_a_host_of_a_large_zone_is_current_in_time(
    autojump_clock, lead_s
):
    # Guards against a pace of retries that grows with the hosts of a zone.
    deployment = Deployment(hosts_per_zone=16)
    delays = await deployment.measure(cut_the_fetches_after_an_outage, lead_s)
    assert max(delays.values()) <= APPLY_S


@pytest.mark.parametrize('hosts_per_zone', [1, 5, 10])
async def test_each_host_learns_that_the_store_is_back(
    autojump_clock, hosts_per_zone
):
    # Guards against hosts that say for ever that the store is lost.
    deployment = Deployment(hosts_per_zone)
    await deployment.measure(end_an_outage, hosts_per_zone)
    logged = {'dependency_lost': set(), 'dependency_regained': set()}
    for _, name, event, fields in deployment.events:
        logged.get(event, set()).add((name, fields.get('dependency')))
    stores = {
        (name, dependency)
        for name, dependency in logged['dependency_lost']
        if dependency.startswith('store')
    }
    assert {name for name, _ in stores} == set(deployment.hosts)
    assert stores <= logged['dependency_regained']
    assert not any(host.store_unreachable for host in deployment.hosts.values())
