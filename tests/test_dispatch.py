"""Dispatch: what a caller is told, and how often a request is sent."""

import pytest
import trio
from platform_samples import make_known, make_request, make_route

from ebonystream._calls import CallKind
from ebonystream._ids import Seconds
from ebonystream._timers import Timers
from ebonystream.dispatch import (
    Attempt,
    Dispatcher,
    RetryBudget,
    RetryLimits,
    make_handle_request,
)
from ebonystream.ingress import CallerPresence
from ebonystream.link import ExchangeFailure
from ebonystream.placement import Candidate, NoCapacity, ProbeResult
from ebonystream.request import ResponseVerdict, ServerResponse
from ebonystream.route import (
    RequestLimits,
    RouteConfiguration,
    ServiceSettings,
    index_routes,
)

ONCE, AGAIN = CallKind.AT_MOST_ONCE, CallKind.IDEMPOTENT
AMPLE = RetryLimits(ratio=1, base_retries=20, window=Seconds(10))
NONE = RetryLimits(ratio=0, base_retries=0, window=Seconds(10))
LIMITS = RequestLimits(head_bytes=999, body_bytes=999, receive=1, idle=1)
TERMS = ServiceSettings(
    health_path='/h', max_connections=9, cold_start=3, cold_rate=2
)


def answer(verdict, status=200):
    return ServerResponse(
        verdict=verdict, status=status, headers=(), body=b'', load=None
    )


SERVED = answer(ResponseVerdict.SERVED)
FAILED = answer(ResponseVerdict.FAILED, 500)
NOT_RUN = answer(ResponseVerdict.NOT_RUN, 503)
MOVED = answer(ResponseVerdict.MISDIRECTED, 421)
SPOILED = answer(ResponseVerdict.INVALID)
CUT, AWAY = ExchangeFailure.INTERRUPTED, ExchangeFailure.UNREACHABLE


def make_dispatcher(ends, *, terms=AMPLE, rooms=9, sent=None, seen=None):
    """Make a dispatcher whose attempts end as told: what, after how long."""
    left = list(ends)
    sent = [] if sent is None else sent

    async def find_room(wanted):
        await trio.lowlevel.checkpoint()
        if len(sent) >= rooms:
            return NoCapacity(
                retry_after=Seconds(0.2), probe_count=0, reason='full'
            )
        server = make_known(f'i-{len(sent) + 1}')
        assert server.entry.id not in wanted.without
        return Candidate(
            probe_result=ProbeResult(server, None, 0.0),
            expected_latency=Seconds(0.1),
            slowdown=1,
            probe_count=1,
            has_free_slot=True,
        )

    async def send(request, offer, until):
        sent.append(offer.sighting.server.entry.id)
        end, after = left.pop(0)
        await trio.sleep(after)
        refused = end if isinstance(end, ExchangeFailure) else None
        got = None if refused else end
        return Attempt(
            offer=offer, response=got, failure=refused, duration=after
        )

    def observe(request, route, attempt):
        if seen is not None:
            seen.append(attempt.describe())

    return Dispatcher(
        find_server=find_room,
        send_attempt=send,
        retry_budget=RetryBudget(terms, lambda: 1),
        attempt_observers=(observe,),
        observe_no_capacity=lambda request, route, found: None,
        observe_response=lambda request, route, response: None,
        timers=Timers(epoch_offset=0),
    )


def make_server(dispatcher, kind, *, configured=True, random):
    configuration = RouteConfiguration(
        version=1,
        routes=index_routes([make_route(kind=kind)]),
        services={'records': TERMS},
        limits=LIMITS,
    )
    return make_handle_request(
        dispatcher,
        get_configuration=lambda: configuration if configured else None,
        random=random,
    )


@pytest.mark.parametrize(
    ('kind', 'ends', 'status', 'sends'),
    [
        (AGAIN, [SERVED], 200, 1),
        (AGAIN, [FAILED, SERVED], 200, 2),
        (AGAIN, [CUT, SERVED], 200, 2),
        (AGAIN, [SPOILED, SERVED], 200, 2),
        (AGAIN, [FAILED, FAILED], 500, 2),
        (AGAIN, [CUT, CUT], 502, 2),
        (AGAIN, [NOT_RUN, NOT_RUN], 503, 2),
        (AGAIN, [CUT, NOT_RUN], 502, 2),
        (AGAIN, [AWAY, AWAY, SERVED], 200, 3),
        (ONCE, [SERVED], 200, 1),
        (ONCE, [FAILED], 500, 1),
        (ONCE, [CUT], 502, 1),
        (ONCE, [SPOILED], 502, 1),
        (ONCE, [NOT_RUN, SERVED], 200, 2),
        (ONCE, [MOVED, SERVED], 200, 2),
        (ONCE, [AWAY, SERVED], 200, 2),
        (ONCE, [NOT_RUN, NOT_RUN], 503, 2),
        (ONCE, [NOT_RUN, CUT], 502, 2),
        (ONCE, [NOT_RUN, FAILED], 500, 2),
    ],
)
async def test_ends(autojump_clock, kind, ends, status, sends):
    sent = []
    dispatcher = make_dispatcher([(end, 0.01) for end in ends], sent=sent)
    serve = make_server(dispatcher, kind, random=Dice())
    response = await serve(make_request(), CallerPresence())
    assert (response.status, len(sent)) == (status, sends)


@pytest.mark.parametrize(
    ('kind', 'ends', 'status', 'sends'),
    [
        (AGAIN, [CUT], 502, 1),
        (AGAIN, [FAILED], 500, 1),
        (ONCE, [NOT_RUN], 503, 1),
        (AGAIN, [AWAY, SERVED], 200, 2),
    ],
)
async def test_without_a_budget(autojump_clock, kind, ends, status, sends):
    sent = []
    ends = [(end, 0.01) for end in ends]
    dispatcher = make_dispatcher(ends, terms=NONE, sent=sent)
    serve = make_server(dispatcher, kind, random=Dice())
    response = await serve(make_request(), CallerPresence())
    assert (response.status, len(sent)) == (status, sends)


@pytest.mark.parametrize(
    ('kind', 'rooms', 'ends', 'status', 'retry'),
    [
        (AGAIN, 0, [], 503, True),
        (ONCE, 0, [], 503, True),
        (ONCE, 1, [NOT_RUN], 503, True),
        # What may have run is never said not to have run.
        (AGAIN, 1, [CUT], 502, False),
        (AGAIN, 1, [FAILED], 500, False),
    ],
)
async def test_without_room(autojump_clock, kind, rooms, ends, status, retry):
    ends = [(end, 0.01) for end in ends]
    dispatcher = make_dispatcher(ends, rooms=rooms)
    serve = make_server(dispatcher, kind, random=Dice())
    response = await serve(make_request(), CallerPresence())
    assert response.status == status
    assert (response.retry_after is not None) is retry
    assert (response.retry_after or 0) <= 0.5


@pytest.mark.parametrize(
    ('kind', 'deadline', 'took', 'status', 'within'),
    [
        (ONCE, 1.0, 5, 504, 1.0),
        (AGAIN, 1.0, 5, 504, 1.0),
        (ONCE, 9.0, 5, 504, 1.5),
        (ONCE, None, 5, 504, 1.5),
        (ONCE, 1.0, 0.9, 200, 0.9),
    ],
)
async def test_time_is_over(
    autojump_clock, kind, deadline, took, status, within
):
    seen = []
    dispatcher = make_dispatcher([(SERVED, took)] * 2, seen=seen)
    serve = make_server(dispatcher, kind, random=Dice())
    response = await serve(make_request(deadline=deadline), CallerPresence())
    assert response.status == status
    assert trio.current_time() == pytest.approx(within)
    # An attempt that was given up on is observed like any other.
    assert seen


@pytest.mark.parametrize(
    ('kind', 'ended', 'took'),
    [(AGAIN, 'abandoned', 0.05), (ONCE, 'served 200', 0.4)],
)
async def test_a_caller_that_leaves(autojump_clock, kind, ended, took):
    seen = []
    dispatcher = make_dispatcher([(SERVED, 0.4)], seen=seen)
    serve = make_server(dispatcher, kind, random=Dice())
    presence = CallerPresence()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve, make_request(), presence)
        await trio.sleep(0.05)
        presence.mark_disconnected()
    assert seen == [ended]
    assert trio.current_time() == pytest.approx(took)


@pytest.mark.parametrize(
    ('request_changes', 'configured', 'status'),
    [
        ({}, False, 503),
        ({'path': '/other/'}, True, 404),
        ({'host': 'else.example'}, True, 404),
        ({'host': 'SHOP.example'}, True, 200),
    ],
)
async def test_routing(autojump_clock, request_changes, configured, status):
    serve = make_server(
        make_dispatcher([(SERVED, 0)]),
        AGAIN,
        configured=configured,
        random=Dice(),
    )
    response = await serve(make_request(**request_changes), CallerPresence())
    assert response.status == status


@pytest.mark.parametrize(
    ('firsts', 'ratio', 'slack', 'hosts', 'allowed'),
    [
        (100, 0.2, 0, 1, 16),
        (0, 0.2, 62, 20, 2),
        (100, 0.2, 62, 20, 18),
        (0, 0, 0, 1, 0),
    ],
)
def test_budget(firsts, ratio, slack, hosts, allowed):
    terms = RetryLimits(ratio=ratio, base_retries=slack, window=Seconds(10))
    budget = RetryBudget(terms, lambda: hosts)
    for _ in range(firsts):
        budget.record_first_attempt('records', 0.0)
    taken = sum(budget.try_acquire_retry('records', 1.0) for _ in range(50))
    assert taken == allowed
    later = sum(budget.try_acquire_retry('records', 20.0) for _ in range(50))
    assert later <= allowed


class Dice:
    """Draws the same each time."""

    def random(self):
        """Draw the middle."""
        return 0.5
