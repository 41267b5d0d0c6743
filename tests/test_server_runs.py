"""Randomised runs of several entry hosts on one set of backend servers."""

from random import Random

import pytest
import trio
import trio.lowlevel
from seeds import read_seeds
from server_fakes import (
    SPREAD,
    TIMERS,
    FakeServer,
    fix_schedule,
    gossip,
    make_call,
    make_host,
    make_listed,
    send_at_random,
)

from ebonystream._ids import ServerId
from ebonystream.backend import HANDOVER, ServerPhase, ServerState
from ebonystream.errors import EbonystreamError

HOSTS = 3
SERVERS = 5
LENGTH = 20.0
QUIET = 12.0
SEEDS = read_seeds('0-5')


class World:
    """Several entry hosts, their servers, and who sponsors which."""

    def __init__(self, seed, *, announces=None):
        fix_schedule(seed)
        self.random = Random(seed)
        names = [f's{number}' for number in range(SERVERS)]
        self.fakes = {
            ServerId(name): FakeServer(
                name,
                Random(f'{seed}{name}'),
                announces=self.random.random() < 0.5
                if announces is None
                else announces,
            )
            for name in names
        }
        self.views = [dict.fromkeys(self.fakes, 0) for _ in range(HOSTS)]
        self.hosts = [
            make_host(
                f'h{index}',
                self.fakes,
                Random(f'{seed}{index}'),
                is_sponsor=self._make_view(index),
                is_alone=lambda: False,
            )
            for index in range(HOSTS)
        ]
        for host in self.hosts:
            host.directory.replace([make_listed(name) for name in names])
        self.drained = set()

    def _make_view(self, index):
        return lambda server: self.views[index][server] == index

    async def send_calls(self, host):
        """Send calls through one host at random for ever."""
        await send_at_random(self.random, self._send_call, host)

    async def _send_call(self, host):
        try:
            await host.dispatch(make_call(now=TIMERS.now()), set())
        except EbonystreamError:
            return

    async def refresh(self):
        """Let each host look at its sponsorships."""
        async for _ in TIMERS.subscribe(period=0.25):
            for host in self.hosts:
                host.rules.sponsorship.refresh(host.directory.servers.values())

    async def change_sponsors(self, nursery):
        """Give a server another sponsor; views change one after another."""
        while True:
            await trio.sleep(self.random.uniform(1, 6))
            server = self.random.choice(list(self.fakes))
            owner = self.random.randrange(HOSTS)
            for index in range(HOSTS):
                nursery.start_soon(self._see_sponsor, index, server, owner)

    async def _see_sponsor(self, index, server, owner):
        await trio.sleep(self.random.uniform(0, HANDOVER / 2))
        self.views[index][server] = owner

    async def disturb(self):
        """Restart, chill or drain servers at random."""
        while True:
            await trio.sleep(self.random.uniform(0.5, 4))
            fake = self.random.choice(list(self.fakes.values()))
            if fake.state is ServerState.DRAINING:
                continue
            await trio.lowlevel.checkpoint()
            if self.random.random() < 0.1 and len(self.drained) < SERVERS - 2:
                fake.drain()
                self.drained.add(fake.name)
            elif self.random.random() < 0.8 or not fake.announces:
                fake.restart()
            else:
                fake.relapse()

    async def run(self):
        """Run with trouble, then quiet."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.refresh)
            nursery.start_soon(gossip, self.hosts, self.random)
            for host in self.hosts:
                nursery.start_soon(self.send_calls, host)
            async with trio.open_nursery() as trouble:
                trouble.start_soon(self.change_sponsors, trouble)
                trouble.start_soon(self.disturb)
                await trio.sleep(LENGTH)
                trouble.cancel_scope.cancel()
            for view in self.views:
                view.update(self.views[0])
            await trio.sleep(QUIET)
            nursery.cancel_scope.cancel()


@pytest.mark.parametrize('seed', SEEDS)
async def test_cold_servers_get_one_call_at_a_time(autojump_clock, seed):
    world = World(seed)
    await world.run()
    for fake in world.fakes.values():
        assert fake.most_in_cold <= 1
        assert fake.latest_in_drain <= SPREAD
    for host in world.hosts:
        phases = {
            server.id: server.warmth.phase
            for server in host.directory.servers.values()
        }
        assert phases == {
            name: ServerPhase.DRAINING
            if name in world.drained
            else ServerPhase.SERVING
            for name in world.fakes
        }


async def measure_relapse(seed):
    """Tell when, after an unannounced relapse, one call at a time is left."""
    world = World(seed, announces=False)
    latest = 0.0

    async def watch(nursery):
        nonlocal latest
        await trio.sleep(10)
        fake = world.fakes[ServerId('s0')]
        assert fake.state is ServerState.SERVING
        fake.relapse()
        begun = trio.current_time()
        while fake.state is ServerState.COLD:
            if len(fake.in_hand) > 1:
                latest = trio.current_time() - begun
            await trio.sleep(0.001)
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(world.refresh)
        nursery.start_soon(gossip, world.hosts, world.random)
        for host in world.hosts:
            nursery.start_soon(world.send_calls, host)
        await watch(nursery)
    return latest


@pytest.mark.parametrize('seed', SEEDS)
async def test_a_relapse_that_latency_alone_shows(autojump_clock, seed):
    assert await measure_relapse(seed) <= 1.5
