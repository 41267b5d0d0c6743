"""Placement: whom a request goes to, whom it waits for, and when it ends."""

from contextlib import ExitStack
from random import Random

import attrs
import pytest
import trio
from platform_samples import make_known, make_route, make_sighting

from ebonystream._ids import Seconds
from ebonystream._timers import Timers
from ebonystream.placement import (
    Candidate,
    NoCapacity,
    PlacementRequest,
    ProbeResult,
    ProcessingTimes,
    SearchContext,
    SelectionCriteria,
    WaitQueues,
    make_find_server,
    select_server,
)
from ebonystream.placement._selection import is_ideal

ROUTE = make_route(objective=0.6, timeout=1.5)
SETTING = SelectionCriteria(processing_time=Seconds(0.22), zone='a', now=0.0)
WANTED = PlacementRequest(
    route=ROUTE,
    service='records',
    first_requested_at=0.0,
    arrived_at=0.0,
    deadline=1.5,
    version_draw=0.5,
)


@pytest.mark.parametrize(
    ('loads', 'late', 'chosen'),
    [
        # Each load: running, waiting, slots, pace.
        ({'i-1': (0, 0, 2, 1)}, False, 'i-1'),
        ({'i-1': (1, 0, 2, 1), 'i-2': (0, 0, 2, 1)}, False, 'i-2'),
        ({'i-1': (0, 0, 2, 4), 'i-2': (1, 0, 2, 1)}, False, 'i-2'),
        # A slow server's slot is not held while a good one may come free.
        ({'i-1': (0, 0, 2, 4)}, False, None),
        ({'i-1': (0, 0, 2, 4)}, True, 'i-1'),
        # Nothing is sent where it would only wait too long, late or not.
        ({'i-1': (2, 0, 2, 1)}, False, None),
        ({'i-1': (2, 0, 2, 1), 'i-2': (0, 0, 2, 4)}, True, 'i-2'),
        ({'i-1': (2, 1, 2, 1)}, False, None),
        ({'i-1': (2, 2, 2, 1)}, True, None),
        ({'i-1': (0, 0, 2, 8)}, True, None),
        ({'i-1': None}, True, None),
        ({'i-1': None, 'i-2': (1, 0, 2, 1)}, False, 'i-2'),
        ({}, True, None),
    ],
)
def test_choice(loads, late, chosen):
    sightings = [make_sighting(name, load) for name, load in loads.items()]
    setting = attrs.evolve(SETTING, allow_late=late)
    found = select_server(WANTED, sightings, setting)
    name = None
    if isinstance(found, Candidate):
        name = found.probe_result.server.entry.id
    assert name == chosen


@pytest.mark.parametrize(
    ('loads', 'why'),
    [
        ({}, 'none_willing'),
        ({'i-1': None}, 'none_willing'),
        ({'i-1': (2, 0, 2, 1)}, 'full'),
        ({'i-1': (0, 0, 2, 4)}, 'too_slow'),
        ({'i-1': (2, 0, 2, 1), 'i-2': (0, 0, 2, 4)}, 'too_slow'),
    ],
)
def test_what_stands_against_a_request(loads, why):
    sightings = [make_sighting(name, load) for name, load in loads.items()]
    found = select_server(WANTED, sightings, SETTING)
    assert isinstance(found, NoCapacity)
    assert found.reason == why


@pytest.mark.parametrize(
    ('changes', 'willing'),
    [
        ({}, True),
        ({'leaving': True}, False),
        ({'cold_until': 9.0}, True),
        ({'cold_until': 9.0, 'in_flight': 1}, False),
    ],
)
def test_cold_and_leaving_servers(changes, willing):
    sighting = make_sighting('i-1', (0, 0, 2, 1))
    for name, changed in changes.items():
        setattr(sighting.server, name, changed)
    found = select_server(WANTED, [sighting], SETTING)
    assert isinstance(found, Candidate) is willing


@pytest.mark.parametrize(
    ('load', 'failures', 'good'),
    [
        ((0, 0, 2, 1), 0, True),
        ((0, 0, 2, 1.5), 0, False),
        ((1, 0, 2, 1), 0, False),
        ((0, 0, 2, 1), 1, False),
    ],
)
def test_an_answer_that_ends_a_survey(load, failures, good):
    sighting = make_sighting('i-1', load)
    if failures:
        sighting.server.count_failure(0.0, failures)
    assert is_ideal(sighting) is good


def test_a_failing_server_comes_last():
    failing = make_sighting('i-1', (0, 0, 2, 1))
    failing.server.count_failure(0.0, 2)
    other = make_sighting('i-2', (1, 0, 2, 1))
    found = select_server(WANTED, [failing, other], SETTING)
    assert found.probe_result is other


@pytest.mark.parametrize(
    ('ranks', 'first'), [([2, 0, 1], 0), ([1, 1], 1), ([2], 2)]
)
def test_the_most_urgent_is_offered_a_freed_server(ranks, first):
    lines = WaitQueues()
    with ExitStack() as stack:
        places = [
            stack.enter_context(
                lines.join(
                    attrs.evolve(
                        WANTED,
                        route=attrs.evolve(ROUTE, rank=rank),
                        first_requested_at=number,
                        arrived_at=number,
                    )
                )
            )
            for number, rank in enumerate(ranks)
        ]
        lines.offer_server(make_sighting('i-1', (0, 0, 2, 1)))
        told = [place for place in places if place.freed is not None]
        assert [place.request.route.rank for place in told] == [first]
        turns = [
            lines.claim_probe_turn(one, 0.0, period=0.04) for one in places
        ]
        assert [
            place for place, turn in zip(places, turns, strict=True) if turn
        ] == told
        assert not lines.claim_probe_turn(told[0], 0.03, period=0.04)
        assert lines.claim_probe_turn(told[0], 0.05, period=0.04)
    assert lines.is_empty('records')


HOPES = [
    # When each came and whether it is hopeless; who is offered the server.
    ([(0, True), (1, False)], 1),
    ([(0, False), (1, False)], 0),
    ([(0, True), (1, True)], 0),
]


@pytest.mark.parametrize(('waiting', 'first'), HOPES)
def test_late_requests_stand_behind(waiting, first):
    lines = WaitQueues()
    with ExitStack() as stack:
        places = [
            stack.enter_context(
                lines.join(
                    attrs.evolve(
                        WANTED, first_requested_at=came, arrived_at=came
                    ),
                    expected_late=hopeless,
                )
            )
            for came, hopeless in waiting
        ]
        hopeful = not all(hopeless for _, hopeless in waiting)
        assert lines.has_request_on_time('records') is hopeful
        lines.offer_server(make_sighting('i-1', (0, 0, 2, 1)))
        assert [place.freed is not None for place in places].index(True) == (
            first
        )


def make_finder(nursery, answers, *, lines, asked):
    """Make a finder whose servers say what `answers` gives for a time."""
    names = answers(0.0).keys()
    servers = [make_known(name) for name in names]

    async def ask(server):
        asked.append(server.entry.id)
        await trio.sleep(0.001)
        load = answers(trio.current_time())[server.entry.id]
        sighting = make_sighting(server.entry.id, load)
        return attrs.evolve(sighting, server=server, at=trio.current_time())

    return SearchContext(
        list_servers=lambda service, draw: servers,
        probe=ask,
        processing_times=ProcessingTimes(),
        queues=lines,
        zone='a',
        timers=Timers(epoch_offset=0),
        random=Random(1),
        background=nursery,
    )


FULL, IDLE, SLOW = (2, 2, 2, 1), (0, 0, 2, 1), (0, 0, 2, 4)


@pytest.mark.parametrize(
    ('answers', 'found', 'within'),
    [
        (lambda now: {'i-1': FULL, 'i-2': IDLE}, 'i-2', 0.01),
        # One that comes to a good pace in time is waited for.
        (lambda now: {'i-1': IDLE if now > 0.1 else SLOW}, 'i-1', 0.16),
        # A slow one is better than none once nothing can be on time.
        (lambda now: {'i-1': SLOW}, 'i-1', 0.5),
        # A full one is not; the request ends while it may still come back.
        (lambda now: {'i-1': FULL}, None, 0.5),
    ],
)
async def test_finding(autojump_clock, answers, found, within):
    asked = []
    async with trio.open_nursery() as nursery:
        lines = WaitQueues()
        finder = make_finder(nursery, answers, lines=lines, asked=asked)
        began = trio.current_time()
        wanted = attrs.evolve(
            WANTED,
            first_requested_at=began,
            arrived_at=began,
            deadline=began + 1.5,
        )
        result = await make_find_server(finder)(wanted)
        assert trio.current_time() - began <= within
    name = None
    if isinstance(result, Candidate):
        name = result.probe_result.server.entry.id
    else:
        assert isinstance(result, NoCapacity)
        assert result.probe_results
    assert name == found
    assert lines.is_empty('records')


async def test_only_the_first_of_a_line_asks(autojump_clock):
    asked = []
    async with trio.open_nursery() as nursery:
        finder = make_finder(
            nursery,
            lambda now: {'i-1': FULL},
            lines=WaitQueues(),
            asked=asked,
        )
        find_room = make_find_server(finder)
        for _ in range(20):
            wanted = attrs.evolve(WANTED, arrived_at=0.0, deadline=1.5)
            nursery.start_soon(find_room, wanted)
    # Twenty that wait 0.3 s and ask every 0.04 s each would ask 160 times.
    assert len(asked) < 60


@pytest.mark.parametrize(
    ('took', 'slowdown', 'mean'),
    [(0.22, 1, 0.22), (0.88, 4, 0.22), (0.374, 1.7, 0.22)],
)
def test_work_is_learned_without_the_slowdown(took, slowdown, mean):
    work = ProcessingTimes()
    for _ in range(200):
        work.record(ROUTE, Seconds(took), slowdown)
    assert work.get(ROUTE) == pytest.approx(mean, rel=0.01)


@pytest.mark.parametrize('waiting', [1, 2, 20])
async def test_a_freed_server_that_helps_nobody_ends_there(
    autojump_clock, waiting
):
    """It is offered down the line once; nobody passes it on for ever."""
    async with trio.open_nursery() as nursery:
        lines = WaitQueues()
        finder = make_finder(
            nursery, lambda now: {'i-1': FULL}, lines=lines, asked=[]
        )
        find_room = make_find_server(finder)
        for _ in range(waiting):
            nursery.start_soon(find_room, WANTED)
        await trio.sleep(0.01)
        with trio.fail_after(5):
            lines.offer_server(make_sighting('i-1', SLOW))
            await trio.sleep(1)
    assert lines.is_empty('records')


@pytest.mark.parametrize(
    ('near', 'far', 'found', 'asks_far'),
    [
        (IDLE, IDLE, 'near', False),
        # Half busy is on time still, and bytes between zones are dear.
        ((1, 0, 2, 1), IDLE, 'near', False),
        (SLOW, IDLE, 'far', True),
        (FULL, IDLE, 'far', True),
        (FULL, SLOW, 'far', True),
        (FULL, FULL, None, True),
    ],
)
async def test_own_zone_first(autojump_clock, near, far, found, asks_far):
    asked = []
    async with trio.open_nursery() as nursery:
        finder = make_finder(
            nursery,
            lambda now: {'near': near, 'far': far},
            lines=WaitQueues(),
            asked=asked,
        )
        servers = [make_known('near', zone='a'), make_known('far', zone='b')]
        finder = attrs.evolve(
            finder, list_servers=lambda service, draw: servers
        )
        result = await make_find_server(finder)(WANTED)
    name = None
    if isinstance(result, Candidate):
        name = result.probe_result.server.entry.id
    assert name == found
    assert ('far' in asked) is asks_far


@pytest.mark.parametrize(('allowed', 'found'), [(True, 'i-1'), (False, None)])
async def test_a_freed_server_that_is_out_gets_nothing(
    autojump_clock, allowed, found
):
    """Its zone was taken out, or its version, while it worked."""
    freed = make_sighting('i-1', IDLE)
    results = []
    async with trio.open_nursery() as nursery:
        lines = WaitQueues()
        finder = make_finder(
            nursery, lambda now: {'i-2': FULL}, lines=lines, asked=[]
        )
        listed = finder.list_servers('records', 0.5)
        with_freed = [*listed, freed.server] if allowed else listed
        finder = attrs.evolve(
            finder,
            list_servers=lambda service, draw: with_freed,
            ask=_stay_silent,
        )

        async def find():
            results.append(await make_find_server(finder)(WANTED))

        nursery.start_soon(find)
        await trio.sleep(0.05)
        lines.offer_server(freed)
    (result,) = results
    name = None
    if isinstance(result, Candidate):
        name = result.probe_result.server.entry.id
    assert name == found


async def _stay_silent(server):
    """Ask a server that says nothing."""
    await trio.sleep(0.001)
    return ProbeResult(server, None, trio.current_time())


@pytest.mark.parametrize(
    ('others_wait', 'load', 'found', 'within'),
    [
        # An idle server it gets at once, whatever its deadline tells.
        (False, IDLE, 'i-1', 0.01),
        (False, (1, 0, 2, 1), 'i-1', 0.2),
        (False, SLOW, 'i-1', 0.2),
        # What another may be answered by on time is left to it.
        (True, IDLE, None, 0.2),
        (True, SLOW, 'i-1', 0.2),
    ],
)
async def test_a_request_that_came_back_late(
    autojump_clock, others_wait, load, found, within
):
    """Its aim has passed; it came back with little of its time left."""
    back = attrs.evolve(WANTED, first_requested_at=-0.7, deadline=1.3)
    async with trio.open_nursery() as nursery:
        lines = WaitQueues()
        finder = make_finder(
            nursery, lambda now: {'i-1': load}, lines=lines, asked=[]
        )
        with ExitStack() as stack:
            if others_wait:
                hoping = attrs.evolve(
                    WANTED, excluded_servers=frozenset(('i-1',))
                )
                stack.enter_context(lines.join(hoping))
            result = await make_find_server(finder)(back)
            assert trio.current_time() < within
    name = None
    if isinstance(result, Candidate):
        name = result.probe_result.server.entry.id
    assert name == found
