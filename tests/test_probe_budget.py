"""Probes: all hosts together stay within the bound, and callers are served."""

import attrs
import pytest
import trio
from test_placement import REQUEST, make_context

from ebonystream.placement import (
    Candidate,
    ProbeBudget,
    ProbePurpose,
    WaitQueues,
    compute_probe_share,
    make_find_server,
)

RATE = 100.0
MAX_QUEUE_TIME = 0.5
FIRST, WIDER, REPEATED, YIELDING = ProbePurpose


@pytest.mark.parametrize(
    ('takes', 'granted'),
    [
        # Each take: time, wanted, purpose. At most 3000 are kept.
        ([(7, 900, FIRST), (7, 1, FIRST)], [600, 0]),
        ([(7, 900, FIRST), (7.25, 2, FIRST)], [600, 2]),
        ([(7, 900, REPEATED), (7, 9, REPEATED), (7, 9, WIDER)], [550, 0, 9]),
        ([(7, 900, WIDER), (7, 9, REPEATED), (7, 9, FIRST)], [575, 0, 3]),
        ([(7, 0, WIDER), (99, 9000, FIRST), (99.5, 99, FIRST)], [0, 3000, 50]),
        ([(7, 900, WIDER), (7.25, 99, REPEATED)], [575, 0]),
        ([(7, 900, YIELDING), (7, 900, REPEATED)], [450, 100]),
        ([(7, 0, FIRST)], [0]),
    ],
)
def test_budget(takes, granted):
    budget = ProbeBudget(lambda: RATE)
    assert [
        budget.take(wanted, float(now), purpose)
        for now, wanted, purpose in takes
    ] == granted


@pytest.mark.parametrize('rates', [(0, 0), (0, 100), (100, 0)])
def test_rate_that_changes(rates):
    """A host that knows no servers yet has nothing to probe."""
    known = list(rates)
    budget = ProbeBudget(lambda: known[0])
    budget.take(0, 0.0, WIDER)
    known[0] = known[1]
    assert budget.take(50, 8.0, WIDER) == min(50, known[1])


@pytest.mark.parametrize(('hosts', 'servers'), [(1, 5), (14, 27), (312, 330)])
def test_all_hosts_stay_within_the_bound(hosts, servers):
    """Each host probes as much as it may, for ten seconds."""
    share = 60 * 0.9 * servers / hosts
    budgets = [ProbeBudget(lambda: share) for _ in range(hosts)]
    purposes = list(ProbePurpose)
    sent = sum(
        budget.take(13, step * 0.04, purposes[step % 3])
        for step in range(250)
        for budget in budgets
    )
    assert sent <= (10 + 6) * 60 * 0.9 * servers


@pytest.mark.parametrize(
    ('rate', 'least_served'), [(1_000_000.0, 36), (150.0, 36), (60.0, 36)]
)
async def test_a_burst_with_few_probes(autojump_clock, rate, least_served):
    """Forty requests arrive at once, at twelve servers with two slots each.

    Each server is free again 0.1 s after a request. Fewer probes must not
    serve fewer callers.
    """
    running = {}

    def get_loads(now):
        for name in list(running):
            running[name] = [end for end in running[name] if end > now]
        return {
            f'i-{number}': (len(running.get(f'i-{number}', ())), 0, 2, 1)
            for number in range(12)
        }

    served = []
    async with trio.open_nursery() as nursery:
        context = make_context(
            nursery, get_loads, queues=WaitQueues(), probed=[]
        )
        context = attrs.evolve(context, budget=ProbeBudget(lambda: rate))
        find_server = make_find_server(context)

        async def call():
            now = trio.current_time()
            request = attrs.evolve(
                REQUEST,
                first_requested_at=now,
                arrived_at=now,
                deadline=now + 1.5,
            )
            result = await find_server(request)
            if not isinstance(result, Candidate):
                return
            name = result.probe_result.server.entry.id
            get_loads(trio.current_time())
            ends = running.setdefault(name, [])
            if len(ends) < 2:
                ends.append(trio.current_time() + 0.1)
                served.append(name)
            await trio.sleep(0.1)
            freed = attrs.evolve(
                result.probe_result, sent_at=trio.current_time()
            )
            context.queues.offer_server(freed)

        await trio.sleep(1)
        for _ in range(40):
            nursery.start_soon(call)
            await trio.sleep(0.002)
    assert len(served) >= least_served


@pytest.mark.parametrize('rate', [40.0, 150.0, 400.0])
async def test_a_queue_stays_within_the_budget(autojump_clock, rate):
    """Requests that wait for full servers ask again, but not without end."""
    probed = []
    async with trio.open_nursery() as nursery:
        context = make_context(
            nursery,
            lambda now: {f'i-{number}': (2, 2, 2, 1) for number in range(20)},
            queues=WaitQueues(),
            probed=probed,
        )
        context = attrs.evolve(context, budget=ProbeBudget(lambda: rate))
        find_server = make_find_server(context)
        for _ in range(100):
            now = trio.current_time()
            request = attrs.evolve(
                REQUEST,
                first_requested_at=now,
                arrived_at=now,
                deadline=now + 1.5,
            )
            nursery.start_soon(find_server, request)
            await trio.sleep(0.03)
        elapsed = trio.current_time()
    assert len(probed) <= rate * (elapsed + MAX_QUEUE_TIME + 6)


@pytest.mark.parametrize(
    ('demands', 'share'),
    [
        ({}, 1),
        ({'e1': 0}, 1),
        ({'e1': 50, 'e2': 50}, 0.5),
        ({'e1': 0, 'e2': 0}, 0.5),
        ({'e1': 300, 'e2': 100}, 0.75),
        # A host that wants nothing keeps a fifth of the mean.
        ({'e1': 0, 'e2': 100}, 10 / 110),
        ({'e2': 100}, 10 / 110),
    ],
)
def test_share_of_a_host(demands, share):
    rate = compute_probe_share(demands, 'e1', total=1000)
    assert rate == pytest.approx(900 * share)


@pytest.mark.parametrize('hosts', [1, 3, 14, 312])
def test_shares_add_up_to_the_total(hosts):
    demands = {f'e{number}': (number * 37) % 200 for number in range(hosts)}
    shares = [
        compute_probe_share(demands, host, total=1000) for host in demands
    ]
    assert sum(shares) == pytest.approx(900)


def test_demand_follows_what_was_wanted():
    budget = ProbeBudget(lambda: 0)
    assert budget.estimate_demand(0.0) == 0
    for step in range(400):
        budget.take(13, step * 0.04, REPEATED)
    assert budget.estimate_demand(16.0) == pytest.approx(13 / 0.04, rel=0.05)
    assert budget.estimate_demand(30.0) < 1
