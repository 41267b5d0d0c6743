"""Plays one load with one policy, and sums it up."""

from functools import partial
from typing import Any

import attrs
import numpy as np
import trio
from trio.testing import MockClock

from ebonystream._ids import AttemptId, Monotonic, Seconds
from ebonystream._timers import Timers
from ebonystream.dispatch import HandleRequest
from ebonystream.ingress import CallerPresence
from ebonystream.placement import WaitQueues
from ebonystream.request import Request, Response
from experiment.hosts import Host, make_host_serve
from experiment.loads import DEMANDS, Demand, Load
from experiment.policies import Policy
from experiment.schedule import seed_schedule
from experiment.summary import sum_up
from experiment.world import Outcome, World

OK = 200
UNAVAILABLE = 503
LEAST_PATIENCE = 0.85
"""The least share of the patience that a caller gives its request at first."""

MOST_RETURN = 1 / 3
"""The share of the time left within which a refused caller comes back."""


@attrs.frozen(kw_only=True)
class _Caller:
    world: World
    hosts: list[HandleRequest]
    demand: Demand
    timers: Timers


def play(load: Load, policy: Policy, *, seed: int) -> dict[str, Any]:
    """Play a load with a policy.

    Args:
        load: The load.
        policy: The policy.
        seed: Of all random draws.

    Returns:
        What was measured, by name.
    """
    seed_schedule(seed)
    world = World(load, np.random.default_rng(seed))
    clock = MockClock(autojump_threshold=0)
    trio.run(partial(_play, world, policy, seed), clock=clock)
    return sum_up(world)


async def _play(world: World, policy: Policy, seed: int) -> None:
    timers = Timers(epoch_offset=0)
    async with trio.open_nursery() as nursery:
        one_line = WaitQueues()
        hosts = [
            make_host_serve(
                Host(
                    world=world,
                    number=number,
                    timers=timers,
                    lines=one_line if policy.sees_all else WaitQueues(),
                    sees_all=policy.sees_all,
                ),
                policy,
                nursery=nursery,
                seed=seed + number,
            )
            for number in range(world.load.hosts)
        ]
        nursery.start_soon(world.trouble)
        for demand in DEMANDS:
            caller = _Caller(
                world=world, hosts=hosts, demand=demand, timers=timers
            )
            nursery.start_soon(_come, caller, nursery)


async def _come(caller: _Caller, nursery: trio.Nursery) -> None:
    """Let callers of one route come, at random, until the load's end."""
    world = caller.world
    while caller.timers.now() < world.load.seconds:
        burst = world.load.burst if world.is_troubled() else 1
        rate = caller.demand.per_second * burst
        await trio.sleep(world.generator.exponential(1 / rate))
        nursery.start_soon(_call, caller)


async def _call(caller: _Caller) -> None:
    """Ask once, and once more after a refusal."""
    came = caller.timers.now()
    share = caller.world.generator.uniform(LEAST_PATIENCE, 1)
    until = Monotonic(came + caller.demand.patience * share)
    response = await _ask(caller, until)
    if response.status == UNAVAILABLE:
        caller.world.counts['refused'] += 1
        left = until - caller.timers.now()
        after = response.retry_after or 0
        await trio.sleep(min(after, max(0, left * MOST_RETURN)))
        response = await _ask(caller, until)
    took = Seconds(caller.timers.now() - came)
    caller.world.outcomes.append(
        Outcome(
            demand=caller.demand,
            came=came,
            took=took if response.status == OK else None,
        )
    )


async def _ask(caller: _Caller, until: Monotonic) -> Response:
    number = caller.world.generator.integers(len(caller.hosts))
    path = caller.demand.route.prefix
    request = Request(
        attempt_id=AttemptId('a'),
        host=caller.demand.route.host,
        method='GET',
        target=path,
        path=path,
        headers=(),
        body=b'',
        arrived_at=caller.timers.now(),
        deadline=until,
    )
    return await caller.hosts[number](request, CallerPresence())
