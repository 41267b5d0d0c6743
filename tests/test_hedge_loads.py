"""Hedged requests under load: what they gain, and the load that they add."""

from collections import Counter
from random import Random
from statistics import quantiles

import attrs
import pytest
import trio
from platform_samples import make_request
from test_dispatch import (
    IDEMPOTENT,
    SERVED,
    make_dispatcher,
    make_test_handler,
)
from test_hedged_requests import EXPECTED_S, make_candidate

from ebonystream.dispatch import Attempt, HedgeRules
from ebonystream.hedging import HedgeBudget, Lateness, choose_quantile
from ebonystream.ingress import CallerPresence


class ServerWorld:
    """Twenty servers; each request runs at the speed of its start."""

    def __init__(self, slow_share, change_period, ratio):
        self.random = Random(1)
        self.slow_share = slow_share
        self.change_period = change_period
        self.sends = 0
        self.ends = Counter()
        self.rules = HedgeRules(
            budget=HedgeBudget(ratio),
            lateness=Lateness(choose_quantile(ratio)),
            find_idle_server=self._find_idle_server,
            observe_decision=lambda request, route, decision: None,
            observe_end=lambda request, route, decision, end: self._count(end),
        )

    def _count(self, end):
        self.ends[end.value] += 1

    async def _find(self, request):
        name = f'i-{self.random.randrange(20)}'
        while name in request.excluded_servers:
            name = f'i-{self.random.randrange(20)}'
        return make_candidate(name)

    async def _find_idle_server(self, request):
        return await self._find(request)

    async def _send(self, request, candidate, deadline):
        self.sends += 1
        name = candidate.probe_result.server.entry.id
        period = int(trio.current_time() / self.change_period)
        slow = Random(f'{name} {period}').random() < self.slow_share
        duration = EXPECTED_S * self.random.uniform(0.8, 1.2)
        duration *= 8 if slow else 1
        await trio.sleep(duration)
        return Attempt(
            candidate=candidate,
            response=SERVED,
            failure=None,
            duration=duration,
        )

    async def run(self, requests, rate):
        """Send requests at random times; return the times that they took."""
        dispatcher = attrs.evolve(
            make_dispatcher([]),
            find_server=self._find,
            send_attempt=self._send,
            hedging=self.rules,
        )
        handle = make_test_handler(dispatcher, IDEMPOTENT, random=self.random)
        took = []

        async def send_request():
            started = trio.current_time()
            request = make_request(arrived_at=started, deadline=started + 1.5)
            response = await handle(request, CallerPresence())
            assert response.status == 200
            took.append(trio.current_time() - started)

        async with trio.open_nursery() as nursery:
            for _ in range(requests):
                nursery.start_soon(send_request)
                await trio.sleep(self.random.expovariate(rate))
        return took


@pytest.mark.parametrize(
    ('slow_share', 'change_period', 'rate', 'ratio', 'gain'),
    [
        (0, 99, 3, 0.05, 0.9),
        # One server in thirty is slow; speeds change every 300 ms, or stay.
        (0.03, 0.3, 3, 0.1, 1.2),
        (0.03, 0.3, 30, 0.1, 1.2),
        # All servers are slow: the load must not double.
        (1, 99, 3, 0.05, 0.9),
        (0.5, 0.3, 30, 0.05, 0.9),
        (0.03, 0.3, 3, 0, 0.9),
    ],
)
async def test_loads(
    autojump_clock, slow_share, change_period, rate, ratio, gain
):
    """Guards against hedges that add load without a gain."""
    requests = 1000
    plain = ServerWorld(slow_share, change_period, 0)
    without = await plain.run(requests, rate)
    world = ServerWorld(slow_share, change_period, ratio)
    took = await world.run(requests, rate)
    assert world.sends - requests <= ratio * requests
    assert max(took) <= 1.5
    p98 = quantiles(without, n=50)[-1], quantiles(took, n=50)[-1]
    assert p98[0] >= gain * p98[1]
    assert bool(world.ends['won']) is (gain > 1)
