"""The reserve of free slots for urgent requests, by load and over all hosts."""

from contextlib import ExitStack
from functools import partial

import attrs
import numpy as np
import pytest
import trio
from experiment import run
from experiment.loads import CLASS_LOADS
from experiment.policies import POLICIES
from experiment.world import DISTURBANCE_END, DISTURBANCE_START, World
from platform_samples import make_probe_result, make_route
from test_gossip import make_listing
from test_placement import make_context
from trio.testing import MockClock

from ebonystream.entryhost._rank_demands import (
    make_rank_demands,
    make_reservations,
)
from ebonystream.gossip import HostFacts, HostFactTable, RankDemandFacts
from ebonystream.placement import (
    NoCapacity,
    PlacementRequest,
    RankDemand,
    Reservations,
    WaitQueues,
    make_find_server,
)
from ebonystream.placement._reservation import (
    MAX_RESERVE_SHARE,
    compute_reserve,
    count_free_slots,
    may_start,
)
from ebonystream.placement._reserve_check import get_reserve
from ebonystream.route import Share, has_time_to_spare, index_routes

URGENT = RankDemand(arrived=80, started=80, work=7)
PATIENT = RankDemand(arrived=90, started=40, work=50)
STARVED = RankDemand(arrived=90, started=5, work=50)

RESERVES = [
    # Rank, demand by rank, slots of the service, and bounds on the share.
    ('no demand', 3, {}, 48, 0, 0),
    ('one rank', 3, {3: PATIENT}, 48, 0, 0),
    ('the most urgent', 0, {0: URGENT, 3: PATIENT}, 48, 0, 0),
    ('less urgent ones only', 0, {3: PATIENT}, 48, 0, 0),
    ('a shortage', 3, {0: URGENT, 3: PATIENT}, 48, 0.2, 0.45),
    ('between two ranks', 1, {0: URGENT, 3: PATIENT}, 48, 0.2, 0.45),
    ('plenty', 3, {0: URGENT, 3: PATIENT}, 4800, 0.01, 0.06),
    ('own demand only', 3, {0: RankDemand(work=0.07)}, 48, 0.001, 0.05),
    ('hardly any slots', 3, {0: URGENT, 3: PATIENT}, 0, 0.1, 0.4),
    ('absurd', 3, {0: RankDemand(work=1e9)}, 48, 0.3, 0.3),
    # No rank is served less often than a quarter of the average.
    ('starved', 3, {0: URGENT, 3: STARVED}, 48, 0, 0),
]


@pytest.mark.parametrize(
    ('rank', 'demands', 'slots', 'least', 'most'),
    [row[1:] for row in RESERVES],
    ids=[row[0] for row in RESERVES],
)
def test_reserve_by_load(rank, demands, slots, least, most):
    reserve = compute_reserve(rank, demands, slots=slots)
    assert least <= reserve.share <= min(most, MAX_RESERVE_SHARE)


@pytest.mark.parametrize(
    ('loads', 'share', 'starts'),
    [
        # Each load: running, waiting, slots, pace.
        ([(6, 0, 6, 1)] * 5, 0, True),
        ([(4, 0, 6, 1)] * 5, 0.3, True),
        ([(5, 0, 6, 1)] * 5, 0.3, False),
        # The reserve is a share of the sample and not of each server.
        ([(2, 0, 2, 1)] * 4 + [(0, 0, 2, 1)], 0.1, True),
        ([(1, 0, 2, 1)] + [(2, 0, 2, 1)] * 5, 0.1, False),
        # Servers that do not answer have no free slots.
        ([None] * 4 + [(5, 0, 6, 1)], 0.2, False),
        ([], 0.2, False),
    ],
)
def test_start_on_a_sample(loads, share, starts):
    results = [
        make_probe_result(f'i-{number}', load)
        for number, load in enumerate(loads)
    ]
    reserve = attrs.evolve(compute_reserve(0, {}, slots=1), share=share)
    assert may_start(count_free_slots(results), reserve) is starts


def make_request(rank):
    """Make a request of a rank that has just arrived."""
    return PlacementRequest(
        route=make_route(rank=rank),
        service='records',
        first_requested_at=0.0,
        arrived_at=0.0,
        deadline=4.0,
        version_draw=0.5,
    )


def make_facts(host, *, demands=(), sequence=1):
    """Make the facts of a host."""
    return HostFacts(
        host=host,
        incarnation='1',
        sequence=sequence,
        zone='a',
        address='127.0.0.1',
        leaving=False,
        store_unreachable=False,
        orders_end=0,
        rank_demands=demands,
    )


REPORT = RankDemandFacts('records', 0, 80_00, 80_00, 7_00)


@pytest.mark.parametrize(
    ('changes', 'age', 'counts', 'lines'),
    [
        ({}, 0.5, True, 0),
        # A host that is silent is not counted.
        ({}, 3, False, 0),
        ({'rank': 3}, 0.5, False, 0),
        ({'service': 'other'}, 0.5, False, 0),
        ({'arrived': 900_000_000}, 0.5, False, 1),
        ({'work': 900_000_000}, 0.5, False, 1),
    ],
)
def test_reports_of_other_hosts(changes, age, counts, lines):
    events = []
    table = HostFactTable('own', 'a')
    reservations = make_reservations(
        table, lambda event, **fields: events.append((event, fields))
    )
    report = RankDemandFacts(
        **{
            name: changes.get(name, getattr(REPORT, name))
            for name in REPORT.__struct_fields__
        }
    )
    table.update(make_facts('other', demands=(report,)), 0.0)
    for now in (age, age + 0.3):
        reserve = reservations.get_reserve(make_request(3), slots=48, now=now)
    assert bool(reserve.share) is counts
    if counts:
        assert reserve.age == pytest.approx(age + 0.3)
    assert [name for name, _ in events] == ['rank_demand_rejected'] * lines


def test_own_requests_are_reported_and_forgotten():
    reservations = Reservations()
    for _ in range(10):
        reservations.counts.record(
            make_request(0), processing_time=0.1, is_started=True, now=0.0
        )
    # Nothing is told of a service whose requests all have one rank.
    assert not make_rank_demands(reservations, 0.0)
    reservations.counts.record(
        make_request(3), processing_time=1, is_started=False, now=1.0
    )
    urgent, patient = make_rank_demands(reservations, 1.0)
    assert urgent == RankDemandFacts('records', 0, 164, 164, 16)
    assert patient == RankDemandFacts('records', 3, 20, 0, 20)
    assert not make_rank_demands(reservations, 60.0)


def play(load, seed):
    """Play a load and return served and on-time shares in the shortage."""
    run.seed_task_order(seed)
    world = World(CLASS_LOADS[load], np.random.default_rng(seed))
    trio.run(
        partial(run._run_simulation, world, POLICIES['product'], seed),
        clock=MockClock(autojump_threshold=0),
    )
    calls = [
        call
        for call in world.outcomes
        if DISTURBANCE_START <= call.arrived_at < DISTURBANCE_END
    ]
    by_name = {
        demand.route.name: [call for call in calls if call.demand is demand]
        for demand in world.load.demands
    }
    return {
        name: (
            np.mean([call.latency is not None for call in group]),
            np.mean([call.get_earned_share() == 1 for call in group]),
        )
        for name, group in {**by_name, 'all': calls}.items()
    }


@pytest.mark.parametrize(
    'load', ['classes, servers lost', 'classes, burst', 'classes, two slots']
)
def test_urgent_requests_are_on_time_in_a_shortage(load):
    """Patient requests took all slots: 0.18 to 0.43 of the urgent on time."""
    shares = play(load, seed=3)
    assert shares['urgent'][1] >= 0.95
    assert shares['urgent'][0] >= shares['patient'][0] - 0.05
    assert shares['patient'][0] >= shares['all'][0] / 4


@pytest.mark.parametrize(
    'load', ['classes, hardly any servers', 'classes, no gossip']
)
def test_no_class_is_starved(load):
    """Urgent requests alone could fill all servers."""
    shares = play(load, seed=3)
    assert shares['urgent'][0] >= shares['patient'][0] - 0.05
    assert shares['patient'][0] >= shares['all'][0] / 4


@pytest.mark.parametrize(
    ('waiting', 'rank', 'work', 'outcome'),
    [
        # One slot of twelve is free, which is left to more urgent requests.
        (0, 3, 700, 'waits'),
        # A request behind more than start in its time is rejected at once.
        (3, 3, 700, 'queue_full'),
        # Without more urgent demand, and for the most urgent, nothing changes.
        (0, 3, 0, 'starts'),
        (0, 0, 700, 'starts'),
        (3, 3, 0, 'waits'),
        (3, 0, 700, 'waits'),
    ],
)
async def test_request_in_a_shortage(
    autojump_clock, waiting, rank, work, outcome
):
    """Patient requests must not take the last slot, nor wait for nothing."""
    table = HostFactTable('own', 'a')
    reports = (
        RankDemandFacts('records', 0, work, work, work),
        RankDemandFacts('records', 3, 300, 100, 200),
    )
    started_at = trio.current_time()
    table.update(make_facts('other', demands=reports), started_at)
    request = attrs.evolve(
        make_request(rank),
        route=make_route(rank=rank, objective=3, timeout=4),
        first_requested_at=started_at,
        arrived_at=started_at,
        deadline=started_at + 4,
    )
    result = None
    async with trio.open_nursery() as nursery:
        queues = WaitQueues()
        context = make_context(
            nursery,
            lambda now: {'i-1': (5, 0, 6, 1), 'i-2': (6, 0, 6, 1)},
            queues=queues,
            probed=[],
        )
        context = attrs.evolve(
            context,
            reservations=make_reservations(table, lambda *_, **fields: None),
        )
        with ExitStack() as stack, trio.move_on_after(0.5):
            for _ in range(waiting):
                stack.enter_context(queues.join(request))
            result = await make_find_server(context)(request)
    if isinstance(result, NoCapacity):
        assert result.reason == outcome
        # Three wait, and a host starts one in a second.
        assert 3 <= result.retry_after <= 4.5
    else:
        assert outcome == ('starts' if result else 'waits')


def test_free_slots_of_an_unreliable_server_do_not_count():
    """A server that refuses everybody looks idle to each host."""
    results = [make_probe_result('i-1', (0, 0, 6, 1)) for _ in range(2)]
    results[0].server.record_reported_failures('other', 3, 0.0)
    assert count_free_slots(results).free == 6


@pytest.mark.parametrize(
    ('objective', 'rank', 'others', 'expected'),
    [
        # Requests that cannot wait were held back for more urgent ones, and
        # missed their own objective.
        (3.0, 3, [(0.26, 0, 'records')], True),
        (0.6, 2, [(0.4, 0, 'records'), (0.8, 1, 'records')], False),
        (1.04, 3, [(0.26, 0, 'records')], True),
        (1.03, 3, [(0.26, 0, 'records')], False),
        # Less urgent routes, routes of the same rank and of other services.
        (3.0, 0, [(0.26, 1, 'records')], False),
        (3.0, 1, [(0.26, 1, 'records')], False),
        (3.0, 3, [(0.26, 0, 'desk')], False),
        (3.0, 3, [], False),
    ],
)
def test_time_to_spare(objective, rank, others, expected):
    route = make_route(name='own', objective=objective, rank=rank)
    routes = [
        make_route(
            name=f'r{number}',
            prefix=f'/r{number}/',
            objective=other_objective,
            rank=other_rank,
            shares=(Share(service, 1),),
        )
        for number, (other_objective, other_rank, service) in enumerate(others)
    ]
    configuration = attrs.evolve(
        make_listing().configuration, routes=index_routes([route, *routes])
    )
    assert has_time_to_spare(configuration, route, 'records') is expected


@pytest.mark.parametrize(('rank', 'counts'), [(0, 0), (1, 0), (2, 1)])
async def test_slots_are_counted_for_a_reserve_only(rank, counts):
    """Without more urgent demand, a request must not cost a pass over servers."""
    table = HostFactTable('own', 'a')
    demands = (RankDemandFacts('records', 1, 80, 80, 700),)
    table.update(make_facts('other', demands=demands), trio.current_time())
    listed = []
    context = attrs.evolve(
        make_context(None, lambda now: {}, queues=WaitQueues(), probed=[]),
        list_servers=lambda service, draw: listed.append(service) or (),
        reservations=make_reservations(table, lambda *_, **fields: None),
    )
    get_reserve(context, make_request(rank))
    assert len(listed) == counts
