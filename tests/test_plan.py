"""Plans: guaranteed rates over all hosts, ranks, shedding and budgets."""

from random import Random

import pytest
import trio
from call_samples import make_call
from hypothesis import given
from hypothesis import strategies as st

from ebonystream._timers import Timers
from ebonystream.backend import (
    UsualLatencies,
)
from ebonystream.configuration import PlanClass, PlanLists, make_plan_table
from ebonystream.errors import ErrorKind
from ebonystream.plan import (
    BudgetRatio,
    ExtraAttemptBudget,
    GuaranteedRates,
    PlanRank,
    TokenBucket,
    get_max_wait_fraction,
    make_rank_call,
)
from ebonystream.routing import (
    ServiceSlots,
    Waiter,
    make_shed_calls,
)

ROUTE = {
    'route': 'r',
    'service': 's',
    'method': 'GET',
    'path_prefix': '/',
    'once': False,
}


def make_table(**classes):
    return make_plan_table(
        PlanLists.model_validate(
            {
                'customers': [{'customer': c, 'plan': c} for c in classes],
                'plans': [
                    {
                        'plan': name,
                        'plan_class': plan_class,
                        'calls_per_second': 100,
                        'burst_calls': 20,
                        'deadline_ms': 1000,
                        'routes': [ROUTE],
                    }
                    for name, plan_class in classes.items()
                ],
            }
        )
    )


@pytest.mark.parametrize(
    ('plan_class', 'within_rate', 'above_rate'),
    [
        (PlanClass.PROMISED, PlanRank.PROMISED, PlanRank.ABOVE_RATE),
        (PlanClass.STANDARD, PlanRank.STANDARD, PlanRank.ABOVE_RATE),
        (PlanClass.SPARE, PlanRank.SPARE, PlanRank.SPARE_ABOVE_RATE),
        (None, PlanRank.SPARE_ABOVE_RATE, PlanRank.SPARE_ABOVE_RATE),
    ],
)
async def test_rank(autojump_clock, plan_class, within_rate, above_rate):
    table = make_table(c=plan_class) if plan_class else None
    rank = make_rank_call(
        get_plans=lambda: table,
        guaranteed_rates=GuaranteedRates(),
        timers=Timers(epoch_offset=0),
    )
    ranks = [rank(make_call(deadline=1)) for _ in range(40)]
    assert ranks[:20] == [within_rate] * 20
    assert ranks[-1] is above_rate
    await trio.sleep(0.1)
    assert rank(make_call(deadline=1)) is within_rate


@given(gaps=st.lists(st.floats(0, 2), max_size=200))
def test_token_bucket_never_exceeds_rate_and_burst(gaps):
    meter = TokenBucket(rate=5, burst=3, tokens=3, updated_at=0)
    now = granted = 0
    for gap in gaps:
        now += gap
        granted += meter.try_acquire(now)
        assert granted <= 3 + 5 * now + 1e-6


@pytest.mark.parametrize(
    ('weights', 'rate', 'min_granted', 'max_granted'),
    [
        ([1] * 13, 80, 0.97, 1),
        ([12] + [1] * 12, 80, 0.97, 1),
        ([1] + [0] * 16, 80, 0.97, 1),
        ([1] * 17, 300, 0.3, 0.42),
        ([12] + [1] * 12, 300, 0.3, 0.42),
    ],
)
def test_rate_over_all_hosts(weights, rate, min_granted, max_granted):
    """Fraction of the calls in 30 s that are within 100 calls per second."""
    random = Random(1)
    table = make_table(c='promised')
    hosts = [GuaranteedRates(host_count=len(weights)) for _ in weights]
    granted_calls = calls = 0
    next_period = now = 0.0
    while now < 30:
        now += random.expovariate(rate)
        if now >= next_period:
            next_period += 0.25
            for number, host in enumerate(hosts):
                host.end_period(table.plans, now)
                for other in hosts:
                    if other is not host:
                        other.record_report(number, host.report())
        host = random.choices(hosts, weights)[0]
        granted = host.try_acquire('c', table.plans['c'], now)
        if now > 2:
            calls += 1
            granted_calls += granted
    assert min_granted <= granted_calls / calls <= max_granted


def test_demand_of_departed_hosts_is_evicted():
    rates = GuaranteedRates()
    rates.record_report('h1', {'c': 5})
    rates.record_report('h2', {'c': 5})
    rates.retain_hosts(frozenset(('h2', 'h3')))
    assert (rates.host_count, set(rates.remote_demands)) == (3, {'h2'})


@pytest.mark.parametrize(
    ('ranks', 'slots', 'remaining'),
    [
        ([0, 1, 2, 3, 4], 5, [0, 1, 2, 3, 4]),
        ([0] * 9 + [2, 3], 1, [0] * 9),
        ([1] * 6 + [0], 1, [0, 1, 1, 1, 1]),
        ([4] * 4, 1, [4, 4]),
    ],
)
def test_shedding_refuses_lowest_rank_first(ranks, slots, remaining):
    """Each call takes 0.1 s and has a deadline in 1 s."""
    usual = UsualLatencies()
    usual.update('r', 0.1)
    service = ServiceSlots('s')
    service.held.slots = dict.fromkeys(range(slots))
    calls = [
        Waiter(
            call=make_call(deadline=1),
            tried=frozenset(),
            rank=rank,
            queued_at=0,
            wake=lambda: None,
        )
        for rank in ranks
    ]
    for waiting in calls:
        service.queue.join(waiting)
    make_shed_calls(
        usual_latencies=usual, get_max_wait_fraction=get_max_wait_fraction
    )(service, 0)
    assert [call.rank for call in service.queue.waiters] == remaining
    refused = [call for call in calls if call not in service.queue.waiters]
    assert {call.error.kind for call in refused} <= {ErrorKind.OVER_LIMIT}


@given(steps=st.lists(st.booleans(), max_size=500))
@pytest.mark.parametrize('ratio', list(BudgetRatio))
def test_budget_is_a_ratio_of_first_attempts(ratio, steps):
    budget = ExtraAttemptBudget(ratio)
    for is_first in steps:
        if is_first:
            budget.record_first_attempt()
        else:
            budget.try_acquire()
    assert budget.extra_attempts <= 3 + budget.first_attempts * ratio + 1e-6
