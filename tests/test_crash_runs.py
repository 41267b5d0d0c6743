"""Randomised runs with a request that crashes each server it runs on."""

import pytest
import trio
from seeds import read_seeds
from server_fakes import MAX_GOSSIP_DELAY, TIMERS, gossip, make_call
from test_server_runs import HOSTS, World

from ebonystream.errors import EbonystreamError, ErrorKind

SEEDS = read_seeds('0-5')
SENDS = 12
BAD = b'bad'


class CrashWorld(World):
    """Hosts whose customers send a few common requests and a crashing one."""

    def __init__(self, seed):
        super().__init__(seed, reports_cold=True)
        for fake in self.fakes.values():
            fake.crash_bodies.add(BAD)
        self.refused = set()

    async def send(self, host, body):
        """Send one request and record whether it is refused for crashes."""
        call = make_call(body, now=TIMERS.now())
        try:
            await host.dispatch(call, set())
        except EbonystreamError as error:
            if error.kind is ErrorKind.CRASHES_BACKENDS:
                self.refused.add(body)

    async def _send_call(self, host):
        body = f'body {self.random.randrange(8)}'.encode()
        await self.send(host, body)

    async def run_with(self, misbehave):
        """Run until `misbehave` has sent its requests; return all crashes."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.refresh)
            nursery.start_soon(gossip, self.hosts, self.random)
            for host in self.hosts:
                nursery.start_soon(self.send_calls, host)
            await trio.sleep(8)
            await misbehave(self)
            await trio.sleep(2)
            nursery.cancel_scope.cancel()
        return sum(fake.crashes for fake in self.fakes.values())


async def send_again(world):
    """Send the crashing request repeatedly, each time through a random host."""
    for _ in range(SENDS):
        await world.send(world.random.choice(world.hosts), BAD)
        await trio.sleep(MAX_GOSSIP_DELAY + world.random.uniform(0, 1))


async def send_at_once(world):
    """Send copies of the crashing request through all hosts concurrently."""
    async with trio.open_nursery() as nursery:
        for _ in range(SENDS):
            for host in world.hosts:
                nursery.start_soon(world.send, host, BAD)
            await trio.sleep(world.random.uniform(0, 0.1))


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize(
    ('misbehave', 'max_crashes'), [(send_again, 2), (send_at_once, 2 * HOSTS)]
)
async def test_crashes_are_few_and_other_requests_are_served(
    autojump_clock, seed, misbehave, max_crashes
):
    world = CrashWorld(seed)
    crashes = await world.run_with(misbehave)
    assert 1 <= crashes <= max_crashes
    assert world.refused == {BAD}
