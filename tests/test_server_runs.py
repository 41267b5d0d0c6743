"""Randomised runs of several entry hosts on one set of backend servers."""

from random import Random

import pytest
import trio
import trio.lowlevel
from seeds import read_seeds
from server_fakes import (
    MAX_GOSSIP_DELAY,
    TIMERS,
    FakeServer,
    gossip,
    make_call,
    make_host,
    make_listed_server,
    seed_schedule,
    send_at_random,
)

from ebonystream._ids import ServerId
from ebonystream.backend import HANDOVER_WAIT, ServerPhase, ServerState
from ebonystream.errors import EbonystreamError

HOSTS = 3
SERVERS = 5
FAULTS_S = 20.0
RECOVERY_S = 12.0
SEEDS = read_seeds('0-5')


class World:
    """Several entry hosts, their servers, and the sponsor of each server."""

    def __init__(self, seed, *, reports_cold=None):
        seed_schedule(seed)
        self.random = Random(seed)
        names = [f's{number}' for number in range(SERVERS)]
        self.fakes = {
            ServerId(name): FakeServer(
                name,
                Random(f'{seed}{name}'),
                reports_cold=self.random.random() < 0.5
                if reports_cold is None
                else reports_cold,
            )
            for name in names
        }
        self.sponsor_views = [
            dict.fromkeys(self.fakes, 0) for _ in range(HOSTS)
        ]
        self.hosts = [
            make_host(
                f'h{index}',
                self.fakes,
                Random(f'{seed}{index}'),
                is_sponsor=self._make_is_sponsor(index),
                is_alone=lambda: False,
            )
            for index in range(HOSTS)
        ]
        for host in self.hosts:
            host.directory.replace([make_listed_server(name) for name in names])
        self.drained = set()

    def _make_is_sponsor(self, index):
        return lambda server: self.sponsor_views[index][server] == index

    async def send_calls(self, host):
        """Send calls through one host at random times, without end."""
        await send_at_random(self.random, self._send_call, host)

    async def _send_call(self, host):
        try:
            await host.dispatch(make_call(now=TIMERS.now()), set())
        except EbonystreamError:
            return

    async def refresh(self):
        """Refresh the sponsorships of each host periodically."""
        async for _ in TIMERS.subscribe(period=0.25):
            for host in self.hosts:
                host.rules.sponsorship.refresh(host.directory.servers.values())

    async def change_sponsors(self, nursery):
        """Change sponsors at random; each host learns of it after a delay."""
        while True:
            await trio.sleep(self.random.uniform(1, 6))
            server = self.random.choice(list(self.fakes))
            sponsor = self.random.randrange(HOSTS)
            for index in range(HOSTS):
                nursery.start_soon(self._learn_sponsor, index, server, sponsor)

    async def _learn_sponsor(self, index, server, sponsor):
        await trio.sleep(self.random.uniform(0, HANDOVER_WAIT / 2))
        self.sponsor_views[index][server] = sponsor

    async def inject_faults(self):
        """Restart, drain or turn cold servers at random."""
        while True:
            await trio.sleep(self.random.uniform(0.5, 4))
            fake = self.random.choice(list(self.fakes.values()))
            if fake.state is ServerState.DRAINING:
                continue
            await trio.lowlevel.checkpoint()
            if self.random.random() < 0.1 and len(self.drained) < SERVERS - 2:
                fake.drain()
                self.drained.add(fake.name)
            elif self.random.random() < 0.8 or not fake.reports_cold:
                fake.restart()
            else:
                fake.relapse()

    async def run(self):
        """Run with faults, and then without them until all hosts agree."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.refresh)
            nursery.start_soon(gossip, self.hosts, self.random)
            for host in self.hosts:
                nursery.start_soon(self.send_calls, host)
            async with trio.open_nursery() as faults:
                faults.start_soon(self.change_sponsors, faults)
                faults.start_soon(self.inject_faults)
                await trio.sleep(FAULTS_S)
                faults.cancel_scope.cancel()
            for view in self.sponsor_views:
                view.update(self.sponsor_views[0])
            await trio.sleep(RECOVERY_S)
            nursery.cancel_scope.cancel()


@pytest.mark.parametrize('seed', SEEDS)
async def test_cold_servers_get_one_call_at_a_time(autojump_clock, seed):
    world = World(seed)
    await world.run()
    for fake in world.fakes.values():
        assert fake.max_cold_in_flight <= 1
        assert fake.max_drain_delay <= MAX_GOSSIP_DELAY
    for host in world.hosts:
        phases = {
            server.id: server.lifecycle.phase
            for server in host.directory.servers.values()
        }
        assert phases == {
            name: ServerPhase.DRAINING
            if name in world.drained
            else ServerPhase.SERVING
            for name in world.fakes
        }


async def measure_relapse(seed):
    """Return how long a server that turns cold has several calls in flight.

    The server does not report that it is cold. The result is in seconds.
    """
    world = World(seed, reports_cold=False)
    last_concurrent = 0.0

    async def watch(nursery):
        nonlocal last_concurrent
        await trio.sleep(10)
        fake = world.fakes[ServerId('s0')]
        assert fake.state is ServerState.SERVING
        fake.relapse()
        started = trio.current_time()
        while fake.state is ServerState.COLD:
            if len(fake.in_flight) > 1:
                last_concurrent = trio.current_time() - started
            await trio.sleep(0.001)
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(world.refresh)
        nursery.start_soon(gossip, world.hosts, world.random)
        for host in world.hosts:
            nursery.start_soon(world.send_calls, host)
        await watch(nursery)
    return last_concurrent


@pytest.mark.parametrize('seed', SEEDS)
async def test_unreported_cold_server_is_detected_by_latency(
    autojump_clock, seed
):
    assert await measure_relapse(seed) <= 1.5
