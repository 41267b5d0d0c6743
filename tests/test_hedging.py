"""Retries and hedges of idempotent calls, within their budgets."""

import pytest
import trio
from call_samples import make_call

from ebonystream._timers import Timers
from ebonystream.backend import (
    ABANDONED,
    INTERRUPTED,
    Attempt,
    AttemptKind,
    make_hedged_run,
    make_idempotent_run,
)
from ebonystream.call import CallResponse, make_error_response
from ebonystream.errors import EbonystreamError, ErrorKind, Outcome
from ebonystream.plan import BudgetRatio, ExtraAttemptBudget

RAN = CallResponse(outcome=Outcome.RAN, status=200, headers=(), body=b'')
NOT_RUN = make_error_response(EbonystreamError(ErrorKind.NO_BACKEND))
UNKNOWN = make_error_response(EbonystreamError(ErrorKind.OUTCOME_LOST))


@pytest.mark.parametrize(
    ('attempts', 'tokens', 'outcome', 'duration', 'started', 'cancelled'),
    [
        ([(0.05, RAN)], 3, Outcome.RAN, 0.05, 1, 0),
        ([(1, RAN), (0.1, RAN)], 3, Outcome.RAN, 0.2, 2, 1),
        ([(0.3, RAN), (1, RAN)], 3, Outcome.RAN, 0.3, 2, 1),
        ([(1, RAN), (0.1, RAN)], 0, Outcome.RAN, 1, 1, 0),
        ([(0.3, NOT_RUN), (0.4, RAN)], 3, Outcome.RAN, 0.5, 2, 0),
        ([(0.3, NOT_RUN), (0.4, NOT_RUN)], 3, Outcome.NOT_RUN, 0.5, 2, 0),
        ([(0.3, UNKNOWN), (0.4, NOT_RUN)], 3, Outcome.UNKNOWN, 0.5, 2, 0),
        ([(0.3, NOT_RUN), (0.4, UNKNOWN)], 3, Outcome.UNKNOWN, 0.5, 2, 0),
    ],
)
async def test_hedging(
    autojump_clock, attempts, tokens, outcome, duration, started, cancelled
):
    remaining, unfinished = list(attempts), []

    async def run(call, tried):
        tried.add(len(tried))
        delay, response = remaining.pop(0)
        unfinished.append('cancelled')
        await trio.sleep(delay)
        unfinished.remove('cancelled')
        return response

    budget = ExtraAttemptBudget(BudgetRatio.HEDGE, tokens=tokens)
    run_hedged = make_hedged_run(
        run=run,
        get_hedge_delay=lambda call: 0.1,
        try_acquire_hedge=budget.try_acquire,
        record_first_attempt=budget.record_first_attempt,
    )
    started_at = trio.current_time()
    response = await run_hedged(make_call(deadline=trio.current_time() + 10))
    assert response.outcome is outcome
    assert trio.current_time() - started_at == pytest.approx(duration)
    assert len(attempts) - len(remaining) == started
    assert len(unfinished) == cancelled


@pytest.mark.parametrize(
    ('max_retries', 'tokens', 'attempts', 'outcome'),
    [
        (0, 3, 1, Outcome.UNKNOWN),
        (2, 3, 3, Outcome.RAN),
        (1, 3, 2, Outcome.UNKNOWN),
        (2, 1, 2, Outcome.UNKNOWN),
        (2, 0, 1, Outcome.UNKNOWN),
    ],
)
async def test_retries(autojump_clock, max_retries, tokens, attempts, outcome):
    results = [
        INTERRUPTED,
        ABANDONED,
        Attempt(AttemptKind.ANSWERED, response=RAN),
    ]
    calls = []
    budget = ExtraAttemptBudget(BudgetRatio.RETRY, tokens=tokens)

    async def dispatch(call, tried):
        calls.append(call)
        return results[len(calls) - 1]

    run = make_idempotent_run(
        dispatch=dispatch,
        timers=Timers(epoch_offset=0),
        get_max_retries=lambda call: max_retries,
        try_acquire_retry=budget.try_acquire,
    )
    response = await run(make_call(deadline=trio.current_time() + 10), set())
    assert (len(calls), response.outcome) == (attempts, outcome)
