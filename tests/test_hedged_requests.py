"""Hedged requests on an entry host: races and idle servers."""

from contextlib import nullcontext
from random import Random

import attrs
import pytest
import trio
from platform_samples import make_known, make_request, make_route
from test_dispatch import (
    AMPLE_BUDGET,
    FAILED,
    IDEMPOTENT,
    INTERRUPTED,
    NO_BUDGET,
    NOT_RUN,
    ONCE,
    SERVED,
    UNREACHABLE,
    make_dispatcher,
    make_test_handler,
)
from test_placement import REQUEST

from ebonystream._timers import Timers
from ebonystream.dispatch import HedgeRules
from ebonystream.hedging import HedgeBudget, Lateness
from ebonystream.ingress import CallerPresence
from ebonystream.placement import (
    Candidate,
    ProbeResult,
    ProcessingTimes,
    SearchContext,
    WaitQueues,
    make_find_idle_server,
)
from ebonystream.roster import HealthReport, LoadReport

EXPECTED_S = 0.1
LATE_S = 0.2


def make_candidate(name, expected=EXPECTED_S):
    return Candidate(
        probe_result=ProbeResult(make_known(name), None, 0.0),
        expected_latency=expected,
        slowdown=1,
        probe_count=1,
        has_free_slot=True,
    )


def make_rules(observed, *, ratio=1, has_idle=True, samples=20):
    async def find_idle_server(request):
        await trio.sleep(0.005)
        assert request.excluded_servers
        return make_candidate('idle') if has_idle else None

    lateness = Lateness()
    for _ in range(samples):
        lateness.record('records', 'racks', LATE_S / EXPECTED_S, 0.0)
    return HedgeRules(
        budget=HedgeBudget(ratio),
        find_idle_server=find_idle_server,
        lateness=lateness,
        observe_decision=lambda request, route, decision: observed.append(
            decision.refusal.value if decision.refusal else 'sent'
        ),
        observe_end=lambda request, route, decision, end: observed.append(
            end.value
        ),
    )


async def run_request(ends, *, rules, kind=IDEMPOTENT, limits=AMPLE_BUDGET):
    """Run one request; return its status, the ends of attempts, the time."""
    described = []
    dispatcher = attrs.evolve(
        make_dispatcher(ends, described=described, limits=limits),
        hedging=rules,
    )
    handle = make_test_handler(dispatcher, kind, random=Random(0))
    response = await handle(make_request(), CallerPresence())
    return response.status, described, trio.current_time()


@pytest.mark.parametrize(
    ('ends', 'status', 'described', 'took', 'observed'),
    [
        ([(SERVED, 0.1)], 200, ['served 200'], 0.1, []),
        (
            [(SERVED, 1), (SERVED, 0.1)],
            200,
            ['served 200', 'abandoned'],
            0.305,
            ['sent', 'won'],
        ),
        (
            [(SERVED, 0.25), (SERVED, 0.1)],
            200,
            ['served 200', 'abandoned'],
            0.25,
            ['sent', 'lost'],
        ),
        # One fails and the other still runs: it is waited for.
        (
            [(INTERRUPTED, 0.25), (SERVED, 0.2)],
            200,
            ['cut', 'served 200'],
            0.405,
            ['sent', 'won'],
        ),
        (
            [(SERVED, 0.4), (FAILED, 0.1)],
            200,
            ['failed 500', 'served 200'],
            0.4,
            ['sent', 'lost'],
        ),
        # Two attempts are all that the route allows.
        (
            [(INTERRUPTED, 0.3), (NOT_RUN, 0.2)],
            502,
            ['cut', 'not_run 503'],
            0.405,
            ['sent', 'lost'],
        ),
        # A request that may have run is never reported as not run.
        (
            [(NOT_RUN, 0.3), (INTERRUPTED, 0.2)],
            502,
            ['cut', 'not_run 503'],
            0.405,
            ['sent', 'lost'],
        ),
        (
            [(NOT_RUN, 0.3), (NOT_RUN, 0.2)],
            503,
            ['not_run 503', 'not_run 503'],
            0.405,
            ['sent', 'lost'],
        ),
        # A first attempt that fails while a server is searched is retried.
        ([(FAILED, 0.202), (SERVED, 0.1)], 200, None, 0.302, []),
        (
            [(SERVED, 9), (SERVED, 9)],
            504,
            ['abandoned', 'abandoned'],
            1.5,
            ['sent', 'cancelled'],
        ),
        (
            [(SERVED, 1), (UNREACHABLE, 0.1)],
            200,
            None,
            1,
            ['sent', 'lost'],
        ),
    ],
)
async def test_races(autojump_clock, ends, status, described, took, observed):
    decisions = []
    result = await run_request(ends, rules=make_rules(decisions))
    assert result[0] == status
    assert described is None or sorted(result[1]) == sorted(described)
    assert result[2] == pytest.approx(took)
    assert decisions == observed


@pytest.mark.parametrize(
    ('changes', 'kind', 'limits', 'observed'),
    [
        ({'ratio': 0.5}, IDEMPOTENT, AMPLE_BUDGET, ['limit']),
        ({'has_idle': False}, IDEMPOTENT, AMPLE_BUDGET, ['shortage']),
        ({}, IDEMPOTENT, NO_BUDGET, ['retry_budget']),
        ({'samples': 19}, IDEMPOTENT, AMPLE_BUDGET, []),
        ({}, ONCE, AMPLE_BUDGET, []),
    ],
)
async def test_no_hedge(autojump_clock, changes, kind, limits, observed):
    decisions = []
    status, described, took = await run_request(
        [(SERVED, 1)],
        rules=make_rules(decisions, **changes),
        kind=kind,
        limits=limits,
    )
    assert (status, described, took) == (200, ['served 200'], 1)
    assert decisions == observed


async def test_the_lateness_of_a_loser_counts(autojump_clock):
    """Guards against ever more hedges, as hedges cut slow responses short."""
    rules = make_rules([])
    await run_request([(SERVED, 1), (SERVED, 0.1)], rules=rules)
    rules.lateness.quantile = 1
    estimate = rules.lateness.estimate('records', 'racks', 0.0)
    assert estimate.samples == 22
    assert estimate.lateness == pytest.approx(3.05)
