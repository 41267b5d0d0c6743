"""Each key runs at most once on all hosts, under random faults.

A key that was reported as "not run" never runs afterwards.

Longer runs: `make soak SEEDS=0-99`. One seed: `make soak SEEDS=17-17`.
"""

from collections import Counter
from random import Random

import pytest
import trio
from seeds import read_seeds

from ebonystream.errors import Outcome
from ebonystream.ownership import make_key
from standins.keyhosts import (
    KEYS_STREAM,
    Backend,
    KeyHosts,
    make_booking,
    read_epoch_ms,
)
from standins.logstore import LogStore, LogStoreSettings, Outage
from standins.network import Faults, Network

NAMES = [f'host{number}' for number in range(5)]
CALLERS = 12
FAULT_EVERY_S = 4
MAX_SENDS = 6
CI_SEEDS = '0-5'


async def cause_faults(hosts, random, counts):
    """Cause random faults, one after another, until cancelled."""
    while True:
        await trio.sleep(random.uniform(0, FAULT_EVERY_S))
        fault = random.choice(FAULTS)
        counts[fault.__name__] += 1
        await fault(hosts, random)


async def replace_host(hosts, random):
    name = random.choice(NAMES)
    if name in hosts.hosts:
        hosts.kill(name)
    await trio.sleep(random.uniform(0, 2))
    if name not in hosts.hosts:
        await hosts.start(name)


async def restart_host_gracefully(hosts, random):
    name = random.choice(NAMES)
    if name not in hosts.hosts:
        return
    await hosts.leave(name)
    await trio.sleep(random.uniform(0, 8))
    if name in hosts.hosts:
        hosts.kill(name)
    await hosts.start(name)


async def suspend_host(hosts, random):
    name = random.choice(NAMES)
    if name not in hosts.hosts:
        return
    incarnation = hosts.hosts[name].incarnation
    hosts.suspend(name)
    await trio.sleep(random.choice((0.5, 5, 45)))
    if name in hosts.hosts and hosts.hosts[name].incarnation == incarnation:
        hosts.resume(name)


async def block_link(hosts, random):
    link = tuple(random.sample(NAMES, 2))
    hosts.network.blocked_links.add(link)
    await trio.sleep(random.uniform(0, 6))
    hosts.network.blocked_links.discard(link)


async def interrupt_log(hosts, random):
    hosts.store.apply_settings(LogStoreSettings(outage=Outage.REFUSE))
    await trio.sleep(random.choice((1, 10, 40)))
    hosts.store.apply_settings(LogStoreSettings())


async def lose_log_responses(hosts, random):
    hosts.store.apply_settings(LogStoreSettings(lose_answers=3, delay_ms=800))
    await trio.sleep(random.uniform(0, 5))
    hosts.store.apply_settings(LogStoreSettings())


async def shorten_retention(hosts, random):
    hosts.store.apply_settings(LogStoreSettings(retention_ms=1_080_000))


FAULTS = (
    replace_host,
    restart_host_gracefully,
    suspend_host,
    block_link,
    interrupt_log,
    lose_log_responses,
    shorten_retention,
)


async def send_bookings(hosts, random, counts):
    """Send bookings, each with a new key, until cancelled."""
    while True:
        await trio.sleep(random.uniform(0, 1))
        skew_ms = random.choice((0, 0, 0, -3000, 2000, -70_000, 500_000))
        key = make_key(read_epoch_ms() + skew_ms, random)
        await send_booking(hosts, random, key, counts)


async def send_booking(hosts, random, key, counts):
    """Send one key through random hosts until its outcome is known."""
    known_outcomes = set()
    for _ in range(MAX_SENDS):
        if not hosts.hosts:
            return
        host = hosts.hosts[random.choice(sorted(hosts.hosts))]
        response = None
        with trio.move_on_after(random.choice((0.2, 5))):
            call = make_booking(key, timeout_s=random.choice((0.3, 2)))
            response = await host.run(call)
        if response is None:
            counts['abandoned'] += 1
            continue
        counts[response.outcome.value] += 1
        if response.outcome is Outcome.NOT_RUN:
            assert key not in hosts.backend.runs, 'a false "not run"'
            hosts.backend.declared_not_run.add(key)
        if response.outcome is Outcome.RAN:
            assert hosts.backend.runs[key] == 1
            assert response.body == key.encode(), 'response of another call'
        if response.outcome is not Outcome.UNKNOWN:
            known_outcomes.add((response.outcome, response.body))
            assert len(known_outcomes) == 1, 'two responses to one key'
        if response.outcome is not Outcome.UNKNOWN and random.random() < 0.7:
            return


async def run_hosts(seed, *, seconds):
    """Run hosts, callers and faults for a duration in virtual time."""
    random = Random(seed)
    counts = Counter()
    faults = Faults(
        loss=0.02, duplication=0.05, min_delay_s=0.001, max_delay_s=0.3
    )
    async with trio.open_nursery() as nursery:
        hosts = KeyHosts(
            random=random,
            network=Network(Random(seed), faults),
            store=LogStore(read_epoch_ms),
            backend=Backend(random),
            nursery=nursery,
        )
        nursery.start_soon(hosts.network.run)
        for name in NAMES:
            await hosts.start(name)
        await trio.sleep(3)
        nursery.start_soon(cause_faults, hosts, random, counts)
        for _ in range(CALLERS):
            nursery.start_soon(send_bookings, hosts, random, counts)
        await trio.sleep(seconds)
        nursery.cancel_scope.cancel()
    counts['runs'] = len(hosts.backend.runs)
    counts['records'] = len(hosts.store.streams[KEYS_STREAM].records)
    return counts


@pytest.mark.parametrize('seed', read_seeds(CI_SEEDS))
async def test_each_key_runs_at_most_once(seed, autojump_clock):
    counts = await run_hosts(seed, seconds=180)
    print(f'seed {seed}: {dict(counts)}')
    assert counts['runs'] > 100
    assert counts['ran'] > 100
    assert counts['not_run'] > 0
    assert counts['unknown'] > 0
