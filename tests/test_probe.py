"""Probes: one prober, within the budget, and none of servers in use."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonystream.backend import (
    BackendServer,
    Directory,
    ServerAddress,
    ServerLifecycle,
    ServerPhase,
)
from ebonystream.probe import ProbeBudget, Prober


def make_prober(*, assigned=('s0', 's1'), cost=6, budget=10):
    directory = Directory()
    directory.replace(
        BackendServer(
            id=f's{number}',
            at=ServerAddress('127.0.0.1', number),
            service='s',
            version='v1',
            zone='a',
            lifecycle=ServerLifecycle(phase=ServerPhase.SERVING),
        )
        for number in range(3)
    )
    return Prober(
        directory=directory,
        budget=ProbeBudget(cost_ms=cost, budget_ms=budget),
        is_prober=lambda server: server in assigned,
    )


@pytest.mark.parametrize(
    ('assigned', 'responded_at', 'now', 'due'),
    [
        ((), {}, 0, []),
        (('s0', 's1'), {}, 0, ['s0', 's1']),
        (('s0', 's1'), {'s0': 0}, 4, ['s1']),
        (('s0', 's1'), {'s0': 0}, 5, ['s0', 's1']),
        (('s2',), {'s0': 0}, 1, ['s2']),
    ],
)
def test_due(assigned, responded_at, now, due):
    prober = make_prober(assigned=assigned)
    for server, at in responded_at.items():
        prober.record_response(server, at)
    assert [server.id for server in prober.list_due(now)] == due


@given(
    gaps=st.lists(st.floats(0, 3), max_size=100),
    cost=st.floats(0.1, 50),
    budget=st.floats(0, 50),
)
def test_cost_is_never_beyond_the_budget(gaps, cost, budget):
    """The budget asserts this too; the test computes it independently."""
    prober = make_prober(assigned=('s0',), cost=cost, budget=budget)
    now, spent = 0, 0
    for gap in gaps:
        now += gap
        spent += cost * len(prober.list_due(now))
        assert spent <= budget * now + cost + 1e-6
