"""Hedges in the measured world keep to their budget and cancel the loser."""

import pytest
from measure.load import Load
from measure.loop import Loop
from measure.run import run_policy
from measure.world import SITES, Job, make_servers

FIRST_SHARE = 3 * 13 / 1000
"""What the budgets of 13 hosts start with, against 1,000 calls."""


@pytest.mark.parametrize(
    ('policy', 'least', 'most'),
    [
        ('product', 0, 0),
        ('product_hedged', 0.01, 0.05 + FIRST_SHARE),
    ],
)
def test_share(policy, least, most):
    load = Load(SITES[1], 13, 0.7, 1000, 1, slow=True)
    share = run_policy(policy, load)['hedge_share']
    assert least <= share <= most


@pytest.mark.parametrize(
    ('dropped', 'ended', 'busy_seconds'),
    [
        ([], [0, 1, 2], 3.0),
        ([0], [1, 2], 2.5),
        ([2], [0, 1], 2.0),
        ([0, 0], [1, 2], 2.5),
    ],
)
def test_drop(dropped, ended, busy_seconds):
    loop = Loop()
    server = make_servers(SITES[0], loop)[0]
    done = []
    jobs = [
        Job(None, 10, lambda whole, number=number: done.append(number), 1)
        for number in range(3)
    ]
    server.on_way = len(jobs)
    for job in jobs:
        server.take(job)
    for number in dropped:
        loop.call_after(0.5, lambda number=number: server.drop(jobs[number]))
    loop.run()
    assert (sorted(done), server.busy_seconds) == (ended, busy_seconds)
    assert server.busy == 0
