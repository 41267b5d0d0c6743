"""Dispatch: responses to the caller, number of attempts, retry budget."""

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

ONCE, IDEMPOTENT = CallKind.AT_MOST_ONCE, CallKind.IDEMPOTENT
AMPLE_BUDGET = RetryLimits(ratio=1, base_retries=20, window=Seconds(10))
NO_BUDGET = RetryLimits(ratio=0, base_retries=0, window=Seconds(10))
LIMITS = RequestLimits(head_bytes=999, body_bytes=999, receive=1, idle=1)
SERVICE_SETTINGS = ServiceSettings(
    health_path='/h', max_connections=9, cold_start=3, cold_rate=2
)


def make_response(verdict, status=200):
    return ServerResponse(
        verdict=verdict, status=status, headers=(), body=b'', load=None
    )


SERVED = make_response(ResponseVerdict.SERVED)
FAILED = make_response(ResponseVerdict.FAILED, 500)
NOT_RUN = make_response(ResponseVerdict.NOT_RUN, 503)
MOVED = make_response(ResponseVerdict.MISDIRECTED, 421)
INVALID = make_response(ResponseVerdict.INVALID)
INTERRUPTED, UNREACHABLE = (
    ExchangeFailure.INTERRUPTED,
    ExchangeFailure.UNREACHABLE,
)


def make_dispatcher(
    ends, *, limits=AMPLE_BUDGET, capacity=9, sent=None, described=None
):
    """Return a dispatcher with scripted results and durations of attempts."""
    scripted = list(ends)
    sent = [] if sent is None else sent

    async def find_server(placement_request):
        await trio.lowlevel.checkpoint()
        if len(sent) >= capacity:
            return NoCapacity(
                retry_after=Seconds(0.2), probe_count=0, reason='full'
            )
        server = make_known(f'i-{len(sent) + 1}')
        assert server.entry.id not in placement_request.excluded_servers
        return Candidate(
            probe_result=ProbeResult(server, None, 0.0),
            expected_latency=Seconds(0.1),
            slowdown=1,
            probe_count=1,
            has_free_slot=True,
        )

    async def send(request, candidate, deadline):
        sent.append(candidate.probe_result.server.entry.id)
        end, duration = scripted.pop(0)
        await trio.sleep(duration)
        failure = end if isinstance(end, ExchangeFailure) else None
        response = None if failure else end
        return Attempt(
            candidate=candidate,
            response=response,
            failure=failure,
            duration=duration,
        )

    def observe(request, route, attempt):
        if described is not None:
            described.append(attempt.describe())

    return Dispatcher(
        find_server=find_server,
        send_attempt=send,
        retry_budget=RetryBudget(limits, lambda: 1),
        attempt_observers=(observe,),
        observe_no_capacity=lambda request, route, found: None,
        observe_response=lambda request, route, response: None,
        timers=Timers(epoch_offset=0),
    )


def make_test_handler(dispatcher, kind, *, configured=True, random):
    configuration = RouteConfiguration(
        version=1,
        routes=index_routes([make_route(kind=kind)]),
        services={'records': SERVICE_SETTINGS},
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
        (IDEMPOTENT, [SERVED], 200, 1),
        (IDEMPOTENT, [FAILED, SERVED], 200, 2),
        (IDEMPOTENT, [INTERRUPTED, SERVED], 200, 2),
        (IDEMPOTENT, [INVALID, SERVED], 200, 2),
        (IDEMPOTENT, [FAILED, FAILED], 500, 2),
        (IDEMPOTENT, [INTERRUPTED, INTERRUPTED], 502, 2),
        (IDEMPOTENT, [NOT_RUN, NOT_RUN], 503, 2),
        (IDEMPOTENT, [INTERRUPTED, NOT_RUN], 502, 2),
        (IDEMPOTENT, [UNREACHABLE, UNREACHABLE, SERVED], 200, 3),
        (ONCE, [SERVED], 200, 1),
        (ONCE, [FAILED], 500, 1),
        (ONCE, [INTERRUPTED], 502, 1),
        (ONCE, [INVALID], 502, 1),
        (ONCE, [NOT_RUN, SERVED], 200, 2),
        (ONCE, [MOVED, SERVED], 200, 2),
        (ONCE, [UNREACHABLE, SERVED], 200, 2),
        (ONCE, [NOT_RUN, NOT_RUN], 503, 2),
        (ONCE, [NOT_RUN, INTERRUPTED], 502, 2),
        (ONCE, [NOT_RUN, FAILED], 500, 2),
    ],
)
async def test_results_of_attempts(autojump_clock, kind, ends, status, sends):
    sent = []
    dispatcher = make_dispatcher([(end, 0.01) for end in ends], sent=sent)
    handle = make_test_handler(dispatcher, kind, random=FixedRandom())
    response = await handle(make_request(), CallerPresence())
    assert (response.status, len(sent)) == (status, sends)


@pytest.mark.parametrize(
    ('kind', 'ends', 'status', 'sends'),
    [
        (IDEMPOTENT, [INTERRUPTED], 502, 1),
        (IDEMPOTENT, [FAILED], 500, 1),
        (ONCE, [NOT_RUN], 503, 1),
        (IDEMPOTENT, [UNREACHABLE, SERVED], 200, 2),
    ],
)
async def test_without_retry_budget(autojump_clock, kind, ends, status, sends):
    sent = []
    ends = [(end, 0.01) for end in ends]
    dispatcher = make_dispatcher(ends, limits=NO_BUDGET, sent=sent)
    handle = make_test_handler(dispatcher, kind, random=FixedRandom())
    response = await handle(make_request(), CallerPresence())
    assert (response.status, len(sent)) == (status, sends)


@pytest.mark.parametrize(
    ('kind', 'capacity', 'ends', 'status', 'retry'),
    [
        (IDEMPOTENT, 0, [], 503, True),
        (ONCE, 0, [], 503, True),
        (ONCE, 1, [NOT_RUN], 503, True),
        # A request that may have run is never reported as not run.
        (IDEMPOTENT, 1, [INTERRUPTED], 502, False),
        (IDEMPOTENT, 1, [FAILED], 500, False),
    ],
)
async def test_without_capacity(
    autojump_clock, kind, capacity, ends, status, retry
):
    ends = [(end, 0.01) for end in ends]
    dispatcher = make_dispatcher(ends, capacity=capacity)
    handle = make_test_handler(dispatcher, kind, random=FixedRandom())
    response = await handle(make_request(), CallerPresence())
    assert response.status == status
    assert (response.retry_after is not None) is retry
    assert (response.retry_after or 0) <= 0.5


@pytest.mark.parametrize(
    ('kind', 'deadline', 'duration', 'status', 'within'),
    [
        (ONCE, 1.0, 5, 504, 1.0),
        (IDEMPOTENT, 1.0, 5, 504, 1.0),
        (ONCE, 9.0, 5, 504, 1.5),
        (ONCE, None, 5, 504, 1.5),
        (ONCE, 1.0, 0.9, 200, 0.9),
    ],
)
async def test_timeouts(
    autojump_clock, kind, deadline, duration, status, within
):
    described = []
    dispatcher = make_dispatcher([(SERVED, duration)] * 2, described=described)
    handle = make_test_handler(dispatcher, kind, random=FixedRandom())
    response = await handle(make_request(deadline=deadline), CallerPresence())
    assert response.status == status
    assert trio.current_time() == pytest.approx(within)
    # An abandoned attempt is reported to the observers, too.
    assert described


@pytest.mark.parametrize(
    ('kind', 'ended', 'duration'),
    [(IDEMPOTENT, 'abandoned', 0.05), (ONCE, 'served 200', 0.4)],
)
async def test_caller_disconnect(autojump_clock, kind, ended, duration):
    described = []
    dispatcher = make_dispatcher([(SERVED, 0.4)], described=described)
    handle = make_test_handler(dispatcher, kind, random=FixedRandom())
    presence = CallerPresence()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(handle, make_request(), presence)
        await trio.sleep(0.05)
        presence.mark_disconnected()
    assert described == [ended]
    assert trio.current_time() == pytest.approx(duration)


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
    handle = make_test_handler(
        make_dispatcher([(SERVED, 0)]),
        IDEMPOTENT,
        configured=configured,
        random=FixedRandom(),
    )
    response = await handle(make_request(**request_changes), CallerPresence())
    assert response.status == status


@pytest.mark.parametrize(
    ('firsts', 'ratio', 'base_retries', 'hosts', 'allowed'),
    [
        (100, 0.2, 0, 1, 16),
        (0, 0.2, 62, 20, 2),
        (100, 0.2, 62, 20, 18),
        (0, 0, 0, 1, 0),
    ],
)
def test_retry_budget(firsts, ratio, base_retries, hosts, allowed):
    limits = RetryLimits(
        ratio=ratio, base_retries=base_retries, window=Seconds(10)
    )
    budget = RetryBudget(limits, lambda: hosts)
    for _ in range(firsts):
        budget.record_first_attempt('records', 0.0)
    granted = sum(budget.try_acquire_retry('records', 1.0) for _ in range(50))
    assert granted == allowed
    later = sum(budget.try_acquire_retry('records', 20.0) for _ in range(50))
    assert later <= allowed


async def test_a_request_is_one_first_attempt(autojump_clock):
    # Each server that could not be reached raised the limit on retries.
    ends = [(end, 0.01) for end in [UNREACHABLE] * 4 + [SERVED]] * 10
    limits = RetryLimits(ratio=0.5, base_retries=0, window=Seconds(10))
    dispatcher = make_dispatcher(ends, limits=limits, capacity=99)
    handle = make_test_handler(dispatcher, IDEMPOTENT, random=FixedRandom())
    for _ in range(10):
        await handle(make_request(), CallerPresence())
    budget = dispatcher.retry_budget
    now = dispatcher.timers.now()
    assert sum(budget.try_acquire_retry('records', now) for _ in range(50)) == 4


class FixedRandom:
    """A random generator that always returns the same number."""

    def random(self):
        """Return the middle of the range."""
        return 0.5
