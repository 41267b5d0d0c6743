"""Simulates one policy under one load and summarizes the results."""

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
from experiment.hosts import Host, make_host_handler
from experiment.loads import Demand, Load
from experiment.policies import Policy
from experiment.schedule import seed_task_order
from experiment.summary import summarize
from experiment.world import Outcome, World

OK = 200
UNAVAILABLE = 503
MIN_TIMEOUT_SHARE = 0.85
"""Minimum timeout of a request, as a share of the caller's timeout."""

MAX_RETRY_DELAY_SHARE = 1 / 3
"""Maximum delay before a retry, as a share of the time left."""


@attrs.frozen(kw_only=True)
class _Caller:
    world: World
    host_handlers: list[HandleRequest]
    demand: Demand
    timers: Timers


def simulate(load: Load, policy: Policy, *, seed: int) -> dict[str, Any]:
    """Simulate a policy under a load.

    Args:
        load: The load.
        policy: The policy.
        seed: Seed of the random number generators and of the task order.

    Returns:
        The results, by name.
    """
    seed_task_order(seed)
    world = World(load, np.random.default_rng(seed))
    clock = MockClock(autojump_threshold=0)
    trio.run(partial(_run_simulation, world, policy, seed), clock=clock)
    return summarize(world)


async def _run_simulation(world: World, policy: Policy, seed: int) -> None:
    timers = Timers(epoch_offset=0)
    async with trio.open_nursery() as nursery:
        shared_queues = WaitQueues()
        host_handlers = [
            make_host_handler(
                Host(
                    world=world,
                    number=number,
                    timers=timers,
                    wait_queues=shared_queues
                    if policy.has_global_view
                    else WaitQueues(),
                    has_global_view=policy.has_global_view,
                ),
                policy,
                nursery=nursery,
                seed=seed + number,
            )
            for number in range(world.load.host_count)
        ]
        nursery.start_soon(world.disturb_servers)
        for demand in world.load.demands:
            caller = _Caller(
                world=world,
                host_handlers=host_handlers,
                demand=demand,
                timers=timers,
            )
            nursery.start_soon(_generate_requests, caller, nursery)


async def _generate_requests(caller: _Caller, nursery: trio.Nursery) -> None:
    """Start requests on one route at random intervals until the load ends."""
    world = caller.world
    while caller.timers.now() < world.load.duration:
        burst_factor = world.load.burst_factor if world.is_disturbed() else 1
        rate = caller.demand.requests_per_second * burst_factor
        await trio.sleep(world.generator.exponential(1 / rate))
        nursery.start_soon(_send_with_retry, caller)


async def _send_with_retry(caller: _Caller) -> None:
    """Send a request, retry it once if refused, and record the outcome."""
    arrived_at = caller.timers.now()
    share = caller.world.generator.uniform(MIN_TIMEOUT_SHARE, 1)
    deadline = Monotonic(arrived_at + caller.demand.caller_timeout * share)
    response = await _send_request(caller, deadline)
    if response.status == UNAVAILABLE:
        caller.world.counts['refused'] += 1
        time_left = deadline - caller.timers.now()
        retry_after = response.retry_after or 0
        await trio.sleep(
            min(retry_after, max(0, time_left * MAX_RETRY_DELAY_SHARE))
        )
        response = await _send_request(caller, deadline)
    latency = Seconds(caller.timers.now() - arrived_at)
    caller.world.outcomes.append(
        Outcome(
            demand=caller.demand,
            arrived_at=arrived_at,
            latency=latency if response.status == OK else None,
        )
    )


async def _send_request(caller: _Caller, deadline: Monotonic) -> Response:
    number = caller.world.generator.integers(len(caller.host_handlers))
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
        deadline=deadline,
    )
    return await caller.host_handlers[number](request, CallerPresence())
