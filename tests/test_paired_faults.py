"""Faults of two kinds at the same time, while a version moves."""

import itertools

import pytest
import trio
from seeds import read_seeds
from server_fakes import MAX_GOSSIP_DELAY, TIMERS, make_call
from test_version_runs import (
    HOSTS,
    WARM_S,
    MoveWorld,
    fail_at_once,
)

from ebonystream.backend import ServerState
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.move import VerdictKind

SEEDS = read_seeds('0-0')
BAD = b'bad'
OUTAGE_S = 25
CUT_S = 3.0
"""How long a host neither hears nor is heard, in seconds."""


class PairWorld(MoveWorld):
    """A move with a log that may be down and a request that ends servers."""

    def __init__(self, seed):
        super().__init__(seed)
        self.log_is_down = False
        self.asked_in_vain = 0
        self.refused = set()
        for fake in self.fakes.values():
            fake.crash_bodies.add(BAD)

    async def _end_move(self, move, kind, reason):
        if self.log_is_down:
            self.asked_in_vain += 1
            return
        await super()._end_move(move, kind, reason)

    async def send_bad(self):
        """Send the request that ends servers through any host."""
        call = make_call(BAD, now=TIMERS.now())
        try:
            await self.random.choice(self.hosts).dispatch(call, set())
        except EbonystreamError as error:
            self.refused.add(error.kind)

    async def pause(self, shortest, longest):
        """Wait for a random time, in seconds."""
        await trio.sleep(self.random.uniform(shortest, longest))


async def crash(world):
    while True:
        await world.pause(0.5, 2)
        await world.send_bad()


async def relapse(world):
    while True:
        await world.pause(0.5, 4)
        fake = world.random.choice(list(world.fakes.values()))
        if fake.state is ServerState.SERVING:
            fake.relapse()


async def drain(world):
    for version in ('v1', 'v2'):
        await world.pause(2, 6)
        fakes = [one for one in world.fakes.values() if one.name == version]
        world.random.choice(fakes).drain()


async def lose_log(world):
    world.log_is_down = True
    await trio.sleep(OUTAGE_S)
    world.log_is_down = False


async def cut_host(world):
    while True:
        await world.pause(1, 4)
        host = world.random.choice(world.hosts)
        world.talking.remove(host)
        await trio.sleep(CUT_S)
        world.talking.append(host)


FAULTS = (fail_at_once, crash, relapse, drain, lose_log, cut_host)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize(
    'pair',
    list(itertools.combinations(FAULTS, 2)),
    ids=lambda pair: '-'.join(one.__name__ for one in pair),
)
async def test_bounds_hold_under_two_faults(autojump_clock, pair, seed):
    world = PairWorld(seed)

    async def break_both(world):
        await trio.sleep(WARM_S)
        async with trio.open_nursery() as nursery:
            for fault in pair:
                nursery.start_soon(fault, world)

    await world.run(break_both)
    late = MAX_GOSSIP_DELAY + CUT_S * (cut_host in pair)
    fakes = world.fakes.values()
    most_crashes = 2 * HOSTS if cut_host in pair else 2
    assert sum(fake.crashes for fake in fakes) <= most_crashes
    assert crash not in pair or ErrorKind.CRASHES_BACKENDS in world.refused
    assert all(fake.max_drain_delay <= late for fake in fakes)
    # A host that hears nothing learns of a cold start by its own call.
    assert cut_host in pair or all(
        fake.max_cold_in_flight <= 1 for fake in fakes
    )
    if fail_at_once in pair:
        assert world.verdict is VerdictKind.TAKEN_BACK
        runs = [
            begun for fake in world.list_new() for begun in fake.call_starts
        ]
        assert max(runs) <= min(world.brakes) + late
        assert (lose_log in pair) == bool(world.asked_in_vain)
