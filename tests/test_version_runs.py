"""Complete version moves on several hosts, up to the verdict."""

from functools import partial
from random import Random

import pytest
import trio
from seeds import read_seeds
from server_fakes import (
    MAX_GOSSIP_DELAY,
    SERVICE,
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
from ebonystream.errors import EbonystreamError
from ebonystream.move import VerdictKind, VersionMove
from ebonystream.version import MovesView, evaluate_version_moves

HOSTS = 3
SERVERS = 4
WARM_UP_S = 10
DURATION_S = 30
SEEDS = read_seeds('0-1')
ROUTES = ('check', 'check', 'check', 'sell')


class MoveWorld:
    """Several entry hosts and one version move."""

    def __init__(self, seed):
        seed_schedule(seed)
        self.random = Random(seed)
        self.verdict = None
        self.stop_times = []
        self.move = VersionMove(
            'm',
            SERVICE,
            'v1',
            'v2',
            (WARM_UP_S + DURATION_S) * 1000,
            0,
            WARM_UP_S * 1000,
        )
        self.fakes = {
            ServerId(f'{version}-{number}'): FakeServer(
                version, Random(f'{seed}{version}{number}')
            )
            for version in ('v1', 'v2')
            for number in range(SERVERS)
        }
        view = MovesView(
            list_moves=self._list_moves,
            find_settled_version=lambda service: 'v1',
            is_rolled_back=lambda service, version: (
                self.verdict is VerdictKind.ROLLED_BACK and version == 'v2'
            ),
        )
        self.hosts = [
            make_host(
                f'h{index}',
                self.fakes,
                Random(f'{seed}{index}'),
                is_sponsor=partial(self._is_sponsor, index),
                is_alone=lambda: False,
                moves=view,
            )
            for index in range(HOSTS)
        ]
        for host in self.hosts:
            host.directory.replace(
                make_listed_server(name, version=name.partition('-')[0])
                for name in self.fakes
            )

        self.talking = list(self.hosts)

    def _is_sponsor(self, index, server):
        return list(self.fakes).index(server) % HOSTS == index

    def _list_moves(self):
        is_open = trio.current_time() >= WARM_UP_S
        return (self.move,) if is_open and self.verdict is None else ()

    async def _end_move(self, move, kind, reason):
        await trio.sleep(0.1)
        self.verdict = self.verdict or kind
        self.ended_at = trio.current_time()

    def list_new(self):
        """List the servers of the new version."""
        return [fake for fake in self.fakes.values() if fake.name == 'v2']

    async def _send_call(self, host):
        route = self.random.choice(ROUTES)
        call = make_call(now=TIMERS.now(), route=route)
        try:
            await host.dispatch(call, set())
        except EbonystreamError:
            return
        for progress in host.rules.version_traffic.progress.values():
            if progress.stop_reason is not None:
                self.stop_times.append(trio.current_time())

    async def run(self, break_version):
        """Run a move until shortly after its time limit."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(gossip, self.talking, self.random)
            for host in self.hosts:
                nursery.start_soon(
                    send_at_random, self.random, self._send_call, host
                )
                nursery.start_soon(
                    partial(
                        evaluate_version_moves,
                        traffic=host.rules.version_traffic,
                        end_move=self._end_move,
                        timers=TIMERS,
                        random=self.random,
                    )
                )
            nursery.start_soon(break_version, self)
            await trio.sleep(WARM_UP_S + DURATION_S + 2)
            nursery.cancel_scope.cancel()


async def keep_good(world):
    """Keep the new version as good as the old one."""


async def fail_at_once(world):
    for fake in world.list_new():
        fake.error_rate = 0.5


async def slow_at_once(world):
    for fake in world.list_new():
        fake.latency_factor = 4


async def fail_late(world):
    await trio.sleep(WARM_UP_S + DURATION_S * 0.5)
    await fail_at_once(world)


async def slow_late(world):
    await trio.sleep(WARM_UP_S + DURATION_S * 0.5)
    await slow_at_once(world)


FINISHED, ROLLED_BACK = VerdictKind.FINISHED, VerdictKind.ROLLED_BACK


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize(
    ('break_version', 'verdict'),
    [
        (keep_good, FINISHED),
        (fail_at_once, ROLLED_BACK),
        (slow_at_once, ROLLED_BACK),
        (fail_late, ROLLED_BACK),
        (slow_late, ROLLED_BACK),
    ],
)
async def test_verdict_is_correct_and_in_time(
    autojump_clock, seed, break_version, verdict
):
    world = MoveWorld(seed)
    await world.run(break_version)
    assert world.verdict is verdict
    assert world.ended_at <= WARM_UP_S + DURATION_S
    run_times = [time for fake in world.list_new() for time in fake.call_starts]
    assert min(run_times) >= WARM_UP_S
    if verdict is ROLLED_BACK:
        assert max(run_times) <= min(world.stop_times) + MAX_GOSSIP_DELAY
