"""The calls to a store that fails do not grow with the number of hosts."""

from random import Random
from types import SimpleNamespace

import pytest
import trio
from test_gossip import make_facts, make_listing

from ebonystream._timers import Timers
from ebonystream.entryhost._store_pacing import (
    compute_retry_delay,
    is_store_failing,
)
from ebonystream.entryhost._store_sync import (
    StoreReader,
    sync_orders,
    sync_servers,
)
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.gossip import HostFactTable
from ebonystream.orders import Orders, OrdersPosition
from ebonystream.roster import EntriesListing, Roster

OUTAGE_S = 8
READS_PER_S = 4
"""Two of the leader, and two that the other hosts of the zone share."""

FIRST_READS = 10
"""Reads before the failures are known."""


def make_table(hosts, failing=0, local='e99', zone='a'):
    table = HostFactTable(local, zone)
    for number in range(hosts):
        table.update(
            make_facts(
                f'e{number:02}', zone='a', store_unreachable=number < failing
            ),
            0.0,
        )
    return table


@pytest.mark.parametrize(
    ('hosts', 'local', 'shortest', 'longest'),
    [
        # The leader, and a host that has lost its peers.
        (30, 'e00', 0.5, 0.5),
        (0, 'e99', 0.5, 0.5),
        (1, 'e99', 0.5, 0.75),
        (30, 'e99', 7.5, 22.5),
        (100, 'e99', 25, 75),
    ],
)
def test_retry_delay(hosts, local, shortest, longest):
    table = make_table(hosts, local=local)
    for seed in range(20):
        delay = compute_retry_delay(table, 0.0, Random(seed))
        assert shortest <= delay <= longest


@pytest.mark.parametrize(
    ('hosts', 'failing', 'zone', 'expected'),
    [
        (0, 0, 'a', False),
        (5, 1, 'a', False),
        (5, 2, 'a', True),
        (5, 5, 'b', False),
    ],
)
def test_store_is_known_to_fail(hosts, failing, zone, expected):
    assert is_store_failing(make_table(hosts, failing, zone=zone), 0.0) is (
        expected
    )


def make_host(name):
    return SimpleNamespace(
        name=name,
        timers=Timers(epoch_offset=0),
        random=Random(name),
        log_event=lambda event, **fields: None,
        facts=HostFactTable(name, 'a'),
        roster=Roster(),
        store_unreachable=False,
        started_at=-9.0,
        has_read=lambda: True,
        cancel_orders_wait=lambda: None,
        orders=Orders(),
        settings=SimpleNamespace(
            limits=SimpleNamespace(revoke=5.0, apply_time=5.0)
        ),
    )


async def exchange_facts(hosts):
    for sequence in range(1, 10**6):
        for host in hosts:
            for peer in hosts:
                facts = make_facts(
                    peer.name,
                    zone='a',
                    number=sequence,
                    store_unreachable=peer.store_unreachable,
                )
                host.facts.update(facts, trio.current_time())
        await trio.sleep(0.5)


@pytest.mark.parametrize('count', [5, 30, 100])
async def test_reads_in_an_outage(autojump_clock, count):
    # All hosts read the store twice a second while it was down.
    reads = []
    is_down = True

    async def list_entries():
        reads.append(trio.current_time())
        await trio.sleep(0.004)
        if is_down:
            raise EbonystreamError(ErrorKind.LOG_UNAVAILABLE, 'down')
        return EntriesListing(())

    hosts = [make_host(f'e{number:03}') for number in range(count)]
    for host in hosts:
        host.roster.apply_listing([], 0.0)
    reader = StoreReader(
        list_orders=None,
        wait_for_orders=None,
        list_entries=list_entries,
        check_store=list_entries,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(exchange_facts, hosts)
        await trio.sleep(0.01)
        for host in hosts:
            nursery.start_soon(sync_servers, host, reader)
        await trio.sleep(OUTAGE_S)
        assert len(reads) <= OUTAGE_S * READS_PER_S + FIRST_READS
        is_down = False
        back_at = trio.current_time()
        await trio.sleep(1)
        nursery.cancel_scope.cancel()
    listed = [host.roster.last_listed_at for host in hosts]
    assert max(listed) >= back_at


@pytest.mark.parametrize('count', [5, 30])
async def test_reads_of_a_store_that_lost_orders(autojump_clock, count):
    # With strict revocation each host asked ten times a second, for ever.
    # A store that is behind its hosts proves nothing to them.
    reads, listings = [], []

    async def wait_for_orders(known_end, wait):
        reads.append(trio.current_time())
        await trio.sleep(wait)
        return OrdersPosition(end=known_end - 1)

    async def list_orders():
        listings.append(trio.current_time())
        await trio.sleep(0.004)
        return make_listing(end=3)

    reader = StoreReader(
        list_orders=list_orders,
        wait_for_orders=wait_for_orders,
        list_entries=None,
        check_store=None,
    )
    hosts = [make_host(f'e{number:03}') for number in range(count)]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(exchange_facts, hosts)
        await trio.sleep(0.01)
        for host in hosts:
            host.orders.update(make_listing(end=4), 0.0)
            host.orders.confirm_newest(
                host.orders.position, host.timers.boot_now()
            )
            host.store_latency = 0.0
            nursery.start_soon(sync_orders, host, reader)
        await trio.sleep(OUTAGE_S)
        first_reads = count + FIRST_READS
        assert len(reads) <= OUTAGE_S * READS_PER_S + first_reads
        assert len(listings) <= len(reads)
        nursery.cancel_scope.cancel()
