"""Tests of placement: selection of servers, wait queues and time limits."""

from contextlib import ExitStack
from random import Random

import attrs
import pytest
import trio
from platform_samples import make_known, make_probe_result, make_route

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
CRITERIA = SelectionCriteria(processing_time=Seconds(0.22), zone='a', now=0.0)
REQUEST = PlacementRequest(
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
        # No slot of a slow server is used while a faster one may be freed.
        ({'i-1': (0, 0, 2, 4)}, False, None),
        ({'i-1': (0, 0, 2, 4)}, True, 'i-1'),
        # No request is sent to a server whose queue would delay it too long,
        # even if it may be late.
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
def test_selection_of_a_server(loads, late, chosen):
    results = [make_probe_result(name, load) for name, load in loads.items()]
    criteria = attrs.evolve(CRITERIA, allow_late=late)
    selection = select_server(REQUEST, results, criteria)
    name = None
    if isinstance(selection, Candidate):
        name = selection.probe_result.server.entry.id
    assert name == chosen


@pytest.mark.parametrize(
    ('loads', 'reason'),
    [
        ({}, 'none_willing'),
        ({'i-1': None}, 'none_willing'),
        ({'i-1': (2, 0, 2, 1)}, 'full'),
        ({'i-1': (0, 0, 2, 4)}, 'too_slow'),
        ({'i-1': (2, 0, 2, 1), 'i-2': (0, 0, 2, 4)}, 'too_slow'),
    ],
)
def test_reason_for_no_capacity(loads, reason):
    results = [make_probe_result(name, load) for name, load in loads.items()]
    selection = select_server(REQUEST, results, CRITERIA)
    assert isinstance(selection, NoCapacity)
    assert selection.reason == reason


@pytest.mark.parametrize(
    ('changes', 'selected'),
    [
        ({}, True),
        ({'leaving': True}, False),
        ({'cold_until': 9.0}, True),
        ({'cold_until': 9.0, 'in_flight': 1}, False),
    ],
)
def test_cold_and_leaving_servers(changes, selected):
    result = make_probe_result('i-1', (0, 0, 2, 1))
    for name, changed in changes.items():
        setattr(result.server, name, changed)
    selection = select_server(REQUEST, [result], CRITERIA)
    assert isinstance(selection, Candidate) is selected


@pytest.mark.parametrize(
    ('load', 'failures', 'ideal'),
    [
        ((0, 0, 2, 1), 0, True),
        ((0, 0, 2, 1.5), 0, False),
        ((1, 0, 2, 1), 0, False),
        ((0, 0, 2, 1), 1, False),
        # With one more request, less than four fifths of the slots are busy.
        ((0, 0, 1, 1), 0, True),
        ((1, 0, 1, 1), 0, False),
        ((2, 0, 4, 1), 0, True),
        ((3, 0, 4, 1), 0, False),
        ((2, 1, 4, 1), 0, False),
        ((2, 0, 4, 1.5), 0, False),
        ((5, 0, 8, 1), 0, True),
        ((6, 0, 8, 1), 0, False),
    ],
)
def test_result_that_ends_a_batch_of_probes(load, failures, ideal):
    result = make_probe_result('i-1', load)
    if failures:
        result.server.record_failure(0.0, failures)
    assert is_ideal(result) is ideal


def test_a_failing_server_is_selected_last():
    failing = make_probe_result('i-1', (0, 0, 2, 1))
    failing.server.record_failure(0.0, 2)
    other = make_probe_result('i-2', (1, 0, 2, 1))
    selection = select_server(REQUEST, [failing, other], CRITERIA)
    assert selection.probe_result is other


@pytest.mark.parametrize(
    ('ranks', 'first'), [([2, 0, 1], 0), ([1, 1], 1), ([2], 2)]
)
def test_the_most_urgent_is_offered_a_freed_server(ranks, first):
    queues = WaitQueues()
    with ExitStack() as stack:
        waiters = [
            stack.enter_context(
                queues.join(
                    attrs.evolve(
                        REQUEST,
                        route=attrs.evolve(ROUTE, rank=rank),
                        first_requested_at=number,
                        arrived_at=number,
                    )
                )
            )
            for number, rank in enumerate(ranks)
        ]
        queues.offer_server(make_probe_result('i-1', (0, 0, 2, 1)))
        notified = [waiter for waiter in waiters if waiter.freed is not None]
        assert [waiter.request.route.rank for waiter in notified] == [first]
        turns = [
            queues.claim_probe_turn(queued, 0.0, period=0.04)
            for queued in waiters
        ]
        assert [
            waiter for waiter, turn in zip(waiters, turns, strict=True) if turn
        ] == notified
        assert not queues.claim_probe_turn(notified[0], 0.03, period=0.04)
        assert queues.claim_probe_turn(notified[0], 0.05, period=0.04)
    assert queues.is_empty('records')


EXPECTED_LATE = [
    # Arrival of each request and whether it is expected to be late; index of
    # the request that is offered the server.
    ([(0, True), (1, False)], 1),
    ([(0, False), (1, False)], 0),
    ([(0, True), (1, True)], 0),
]


@pytest.mark.parametrize(('waiting', 'first'), EXPECTED_LATE)
def test_late_requests_are_queued_last(waiting, first):
    queues = WaitQueues()
    with ExitStack() as stack:
        waiters = [
            stack.enter_context(
                queues.join(
                    attrs.evolve(
                        REQUEST, first_requested_at=arrived, arrived_at=arrived
                    ),
                    expected_late=late,
                )
            )
            for arrived, late in waiting
        ]
        any_on_time = not all(late for _, late in waiting)
        assert queues.has_request_on_time('records', ROUTE.rank) is any_on_time
        queues.offer_server(make_probe_result('i-1', (0, 0, 2, 1)))
        assert [waiter.freed is not None for waiter in waiters].index(True) == (
            first
        )


def make_context(nursery, get_loads, *, queues, probed):
    """Make a context whose servers report the load that `get_loads` returns."""
    names = get_loads(0.0).keys()
    servers = [make_known(name) for name in names]

    async def probe(server):
        probed.append(server.entry.id)
        await trio.sleep(0.001)
        load = get_loads(trio.current_time())[server.entry.id]
        result = make_probe_result(server.entry.id, load)
        return attrs.evolve(result, server=server, sent_at=trio.current_time())

    return SearchContext(
        list_servers=lambda service, draw: servers,
        probe=probe,
        processing_times=ProcessingTimes(),
        queues=queues,
        zone='a',
        timers=Timers(epoch_offset=0),
        random=Random(1),
        background=nursery,
    )


FULL, IDLE, SLOW = (2, 2, 2, 1), (0, 0, 2, 1), (0, 0, 2, 4)


@pytest.mark.parametrize(
    ('get_loads', 'found', 'within'),
    [
        (lambda now: {'i-1': FULL, 'i-2': IDLE}, 'i-2', 0.01),
        # The request waits for a server that returns to its usual pace in time.
        (lambda now: {'i-1': IDLE if now > 0.1 else SLOW}, 'i-1', 0.16),
        # A slow server is selected once no server can be on time.
        (lambda now: {'i-1': SLOW}, 'i-1', 0.5),
        # A full one is not; the request ends early enough for a retry.
        (lambda now: {'i-1': FULL}, None, 0.5),
    ],
)
async def test_search(autojump_clock, get_loads, found, within):
    probed = []
    async with trio.open_nursery() as nursery:
        queues = WaitQueues()
        context = make_context(nursery, get_loads, queues=queues, probed=probed)
        started_at = trio.current_time()
        request = attrs.evolve(
            REQUEST,
            first_requested_at=started_at,
            arrived_at=started_at,
            deadline=started_at + 1.5,
        )
        result = await make_find_server(context)(request)
        assert trio.current_time() - started_at <= within
    name = None
    if isinstance(result, Candidate):
        name = result.probe_result.server.entry.id
    else:
        assert isinstance(result, NoCapacity)
        assert result.probe_results
    assert name == found
    assert queues.is_empty('records')


async def test_only_the_first_of_a_queue_probes(autojump_clock):
    probed = []
    async with trio.open_nursery() as nursery:
        context = make_context(
            nursery,
            lambda now: {'i-1': FULL},
            queues=WaitQueues(),
            probed=probed,
        )
        find_server = make_find_server(context)
        for _ in range(20):
            request = attrs.evolve(REQUEST, arrived_at=0.0, deadline=1.5)
            nursery.start_soon(find_server, request)
    # If each of 20 requests probed every 0.04 s for 0.3 s, there would be about
    # 160 probes.
    assert len(probed) < 60


@pytest.mark.parametrize(
    ('duration', 'slowdown', 'mean'),
    [(0.22, 1, 0.22), (0.88, 4, 0.22), (0.374, 1.7, 0.22)],
)
def test_processing_time_excludes_the_slowdown(duration, slowdown, mean):
    times = ProcessingTimes()
    for _ in range(200):
        times.record(ROUTE, Seconds(duration), slowdown)
    assert times.get(ROUTE) == pytest.approx(mean, rel=0.01)


@pytest.mark.parametrize('waiting', [1, 2, 20])
async def test_an_unusable_freed_server_is_offered_once(
    autojump_clock, waiting
):
    """Guards against endless offers of a server that no request can use."""
    async with trio.open_nursery() as nursery:
        queues = WaitQueues()
        context = make_context(
            nursery, lambda now: {'i-1': FULL}, queues=queues, probed=[]
        )
        find_server = make_find_server(context)
        for _ in range(waiting):
            nursery.start_soon(find_server, REQUEST)
        await trio.sleep(0.01)
        with trio.fail_after(5):
            queues.offer_server(make_probe_result('i-1', SLOW))
            await trio.sleep(1)
    assert queues.is_empty('records')


@pytest.mark.parametrize(
    ('local', 'remote', 'found', 'remote_probed'),
    [
        (IDLE, IDLE, 'local', False),
        # A half-busy local server is on time, and traffic between zones is
        # expensive.
        ((1, 0, 2, 1), IDLE, 'local', False),
        (SLOW, IDLE, 'remote', True),
        (FULL, IDLE, 'remote', True),
        (FULL, SLOW, 'remote', True),
        (FULL, FULL, None, True),
    ],
)
async def test_local_zone_is_preferred(
    autojump_clock, local, remote, found, remote_probed
):
    probed = []
    async with trio.open_nursery() as nursery:
        context = make_context(
            nursery,
            lambda now: {'local': local, 'remote': remote},
            queues=WaitQueues(),
            probed=probed,
        )
        servers = [
            make_known('local', zone='a'),
            make_known('remote', zone='b'),
        ]
        context = attrs.evolve(
            context, list_servers=lambda service, draw: servers
        )
        result = await make_find_server(context)(REQUEST)
    name = None
    if isinstance(result, Candidate):
        name = result.probe_result.server.entry.id
    assert name == found
    assert ('remote' in probed) is remote_probed


@pytest.mark.parametrize(('allowed', 'found'), [(True, 'i-1'), (False, None)])
async def test_a_freed_server_no_longer_listed_is_not_selected(
    autojump_clock, allowed, found
):
    """Its zone or version was taken out of service while it was busy."""
    freed = make_probe_result('i-1', IDLE)
    results = []
    async with trio.open_nursery() as nursery:
        queues = WaitQueues()
        context = make_context(
            nursery, lambda now: {'i-2': FULL}, queues=queues, probed=[]
        )
        listed = context.list_servers('records', 0.5)
        with_freed = [*listed, freed.server] if allowed else listed
        context = attrs.evolve(
            context,
            list_servers=lambda service, draw: with_freed,
            probe=_probe_silent_server,
        )

        async def find():
            results.append(await make_find_server(context)(REQUEST))

        nursery.start_soon(find)
        await trio.sleep(0.05)
        queues.offer_server(freed)
    (result,) = results
    name = None
    if isinstance(result, Candidate):
        name = result.probe_result.server.entry.id
    assert name == found


async def _probe_silent_server(server):
    """Probe a server that does not respond."""
    await trio.sleep(0.001)
    return ProbeResult(server, None, trio.current_time())


@pytest.mark.parametrize(
    ('others_wait', 'load', 'found', 'within'),
    [
        # An idle server is selected at once, even if the response is late.
        (False, IDLE, 'i-1', 0.01),
        (False, (1, 0, 2, 1), 'i-1', 0.2),
        (False, SLOW, 'i-1', 0.2),
        # A server that can answer another request on time is left to it.
        (True, IDLE, None, 0.2),
        (True, SLOW, 'i-1', 0.2),
    ],
)
async def test_a_late_retry(autojump_clock, others_wait, load, found, within):
    """Its objective has passed, and little time is left to its deadline."""
    retry = attrs.evolve(REQUEST, first_requested_at=-0.7, deadline=1.3)
    async with trio.open_nursery() as nursery:
        queues = WaitQueues()
        context = make_context(
            nursery, lambda now: {'i-1': load}, queues=queues, probed=[]
        )
        with ExitStack() as stack:
            if others_wait:
                on_time = attrs.evolve(
                    REQUEST, excluded_servers=frozenset(('i-1',))
                )
                stack.enter_context(queues.join(on_time))
            result = await make_find_server(context)(retry)
            assert trio.current_time() < within
    name = None
    if isinstance(result, Candidate):
        name = result.probe_result.server.entry.id
    assert name == found


@pytest.mark.parametrize(
    ('confirmed', 'may_receive', 'found', 'probed_cold'),
    [
        (True, True, 'warm', True),
        (True, False, 'warm', False),
        # Only a probe shows whether an entry that says so is still true.
        (False, False, 'warm', True),
    ],
)
async def test_cold_servers_get_what_is_allowed(
    autojump_clock, confirmed, may_receive, found, probed_cold
):
    # Guards against requests beyond this host's share (FAILBACK).
    probed = []
    async with trio.open_nursery() as nursery:
        context = make_context(
            nursery,
            lambda now: {'cold': (0, 0, 2, 1), 'warm': (1, 0, 2, 2)},
            queues=WaitQueues(),
            probed=probed,
        )
        cold, _ = context.list_servers('records', 0.0)
        cold.cold_until, cold.cold_confirmed = 99.0, confirmed
        context = attrs.evolve(
            context,
            may_receive=lambda server: server is not cold or may_receive,
        )
        result = await make_find_server(context)(REQUEST)
    if not may_receive:
        assert result.probe_result.server.entry.id == found
    assert ('cold' in probed) is probed_cold
