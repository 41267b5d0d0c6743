"""Faults of two kinds at the same time, while a version moves."""

import itertools

import pytest
import trio
from seeds import read_seeds
from server_fakes import MAX_GOSSIP_DELAY, TIMERS, make_call
from test_version_runs import (
    HOSTS,
    WARM_UP_S,
    MoveWorld,
    fail_at_once,
)

from ebonystream.backend import ServerState
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.move import VerdictKind

SEEDS = read_seeds('0-0')
CRASHING_BODY = b'bad'
OUTAGE_S = 25
CUT_S = 3.0
"""How long a host exchanges no heartbeats with others, in seconds."""


class PairWorld(MoveWorld):
    """A version move with log outages and a request that crashes servers."""

    def __init__(self, seed):
        super().__init__(seed)
        self.log_is_down = False
        self.failed_requests = 0
        self.refusals = set()
        for fake in self.fakes.values():
            fake.crash_bodies.add(CRASHING_BODY)

    async def _end_move(self, move, kind, reason):
        if self.log_is_down:
            self.failed_requests += 1
            return
        await super()._end_move(move, kind, reason)

    async def send_crashing_request(self):
        """Send the request that crashes servers to a random host."""
        call = make_call(CRASHING_BODY, now=TIMERS.now())
        try:
            await self.random.choice(self.hosts).dispatch(call, set())
        except EbonystreamError as error:
            self.refusals.add(error.kind)

    async def pause(self, min_s, max_s):
        """Wait for a random time, in seconds."""
        await trio.sleep(self.random.uniform(min_s, max_s))


async def crash(world):
    while True:
        await world.pause(0.5, 2)
        await world.send_crashing_request()


async def relapse(world):
    while True:
        await world.pause(0.5, 4)
        fake = world.random.choice(list(world.fakes.values()))
        if fake.state is ServerState.SERVING:
            fake.relapse()


async def drain(world):
    for version in ('v1', 'v2'):
        await world.pause(2, 6)
        fakes = [fake for fake in world.fakes.values() if fake.name == version]
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
    ids=lambda pair: '-'.join(fault.__name__ for fault in pair),
)
async def test_bounds_hold_under_two_faults(autojump_clock, pair, seed):
    world = PairWorld(seed)

    async def inject_both(world):
        await trio.sleep(WARM_UP_S)
        async with trio.open_nursery() as nursery:
            for fault in pair:
                nursery.start_soon(fault, world)

    await world.run(inject_both)
    max_delay = MAX_GOSSIP_DELAY + CUT_S * (cut_host in pair)
    fakes = world.fakes.values()
    max_crashes = 2 * HOSTS if cut_host in pair else 2
    assert sum(fake.crashes for fake in fakes) <= max_crashes
    assert crash not in pair or ErrorKind.CRASHES_BACKENDS in world.refusals
    assert all(fake.max_drain_delay <= max_delay for fake in fakes)
    # A host that is cut off detects a cold start only by its own call.
    assert cut_host in pair or all(
        fake.max_cold_in_flight <= 1 for fake in fakes
    )
    if fail_at_once in pair:
        assert world.verdict is VerdictKind.ROLLED_BACK
        run_times = [
            time for fake in world.list_new() for time in fake.call_starts
        ]
        assert max(run_times) <= min(world.stop_times) + max_delay
        assert (lose_log in pair) == bool(world.failed_requests)
