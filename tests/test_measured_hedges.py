"""Hedges in the simulation stay within their budget; the loser is cancelled."""

import pytest
from measure.load import Load
from measure.loop import Loop
from measure.run import run_policy
from measure.world import SITES, Job, make_servers

INITIAL_BUDGET_SHARE = 3 * 13 / 1000
"""Initial hedge budget of 13 hosts, as a share of 1,000 calls."""


@pytest.mark.parametrize(
    ('policy', 'min_share', 'max_share'),
    [
        ('product', 0, 0),
        ('product_hedged', 0.01, 0.05 + INITIAL_BUDGET_SHARE),
    ],
)
def test_hedge_share_is_within_budget(policy, min_share, max_share):
    load = Load(SITES[1], 13, 0.7, 1000, 1, has_slow_servers=True)
    share = run_policy(policy, load)['hedge_share']
    assert min_share <= share <= max_share


@pytest.mark.parametrize(
    ('cancelled', 'completed', 'busy_seconds'),
    [
        ([], [0, 1, 2], 3.0),
        ([0], [1, 2], 2.5),
        ([2], [0, 1], 2.0),
        ([0, 0], [1, 2], 2.5),
    ],
)
def test_cancelled_jobs_do_not_end(cancelled, completed, busy_seconds):
    loop = Loop()
    server = make_servers(SITES[0], loop)[0]
    finished = []
    jobs = [
        Job(
            None,
            10,
            lambda is_complete, number=number: finished.append(number),
            1,
        )
        for number in range(3)
    ]
    server.in_flight = len(jobs)
    for job in jobs:
        server.enqueue(job)
    for number in cancelled:
        loop.call_after(0.5, lambda number=number: server.cancel(jobs[number]))
    loop.run()
    assert (sorted(finished), server.busy_seconds) == (completed, busy_seconds)
    assert server.running == 0
