"""Hedged attempts: a late first attempt races a second one."""

import trio

from ebonystream._ids import Monotonic, Seconds
from ebonystream.dispatch._attempt import Attempt
from ebonystream.dispatch._hedge_rules import (
    HedgeRules,
    compute_ratio,
    get_expected,
)
from ebonystream.dispatch._progress import Dispatcher, RequestProgress
from ebonystream.dispatch._race import Race
from ebonystream.dispatch._sending import run_observed_attempt
from ebonystream.hedging import (
    HedgeFigures,
    HedgeRefusal,
    compute_hedge_delay,
    find_refusal,
)
from ebonystream.placement import Candidate


async def run_hedged_attempt(
    dispatcher: Dispatcher, progress: RequestProgress, candidate: Candidate
) -> Attempt:
    """Make an attempt, and a second one at another server if it is late.

    The first response that is served counts; the other attempt is cancelled,
    which closes its connection. If one fails, the other is waited for.

    Args:
        dispatcher: The dependencies of dispatch.
        progress: State of the request.
        candidate: Server of the first attempt.
    """
    rules = dispatcher.hedging
    if rules is None:
        return await run_observed_attempt(dispatcher, progress, candidate)
    if progress.last_attempt is None:
        rules.budget.record_first_attempt(progress.service)
    if not progress.is_retryable():
        return await run_observed_attempt(dispatcher, progress, candidate)
    now = dispatcher.timers.now()
    estimate = rules.lateness.estimate(
        progress.service, progress.route.name, now
    )
    if estimate is None:
        attempt = await run_observed_attempt(dispatcher, progress, candidate)
        _record_lateness(rules, progress, attempt, now)
        return attempt
    return await _run_race(
        Race(
            dispatcher=dispatcher,
            rules=rules,
            progress=progress,
            candidate=candidate,
            estimate=estimate,
            started_at=now,
        )
    )


async def _run_race(race: Race) -> Attempt:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_hedge_if_late, race, nursery.cancel_scope)
        try:
            first = await run_observed_attempt(
                race.dispatcher, race.progress, race.candidate
            )
        except trio.Cancelled:
            if race.winner is not None:
                _record_loser(race)
            raise
        race.first_running = False
        race.record_end(first)
        _record_lateness(race.rules, race.progress, first, race.started_at)
        if race.is_over():
            nursery.cancel_scope.cancel()
    result = race.winner or race.last
    assert result is not None, 'a race ended without a result'
    return result


async def _hedge_if_late(race: Race, scope: trio.CancelScope) -> None:
    """Wait until the first attempt is late, and send the hedge."""
    expected = get_expected(race.candidate)
    delay = compute_hedge_delay(expected, race.estimate.lateness)
    await race.dispatcher.timers.wait(delay)
    # Probes are sent only for a hedge that could follow.
    refusal = find_refusal(_make_figures(race, expected, is_short=False))
    hedge: Candidate | None = None
    if refusal is None:
        hedge = await race.rules.find_idle_server(
            race.progress.make_placement_request()
        )
        if not race.first_running:
            return
        expected = get_expected(hedge) if hedge else expected
        refusal = find_refusal(
            _make_figures(race, expected, is_short=hedge is None)
        ) or _acquire(race)
    if hedge is None or refusal is not None:
        race.decide(refusal=refusal)
        return
    decision = race.decide(hedge=hedge)
    race.hedge_running = True
    try:
        await _run_hedge(race, hedge)
    finally:
        race.hedge_running = False
        race.report_end(decision)
    if race.is_over():
        scope.cancel()


async def _run_hedge(race: Race, hedge: Candidate) -> None:
    started_at = race.dispatcher.timers.now()
    race.hedge = await run_observed_attempt(
        race.dispatcher, race.progress, hedge
    )
    race.record_end(race.hedge)
    _record_lateness(race.rules, race.progress, race.hedge, started_at)


def _make_figures(
    race: Race, expected: Seconds, *, is_short: bool
) -> HedgeFigures:
    progress = race.progress
    return HedgeFigures(
        repeatable=progress.is_retryable(),
        attempts_left=progress.route.attempts - progress.attempt_count,
        expected=expected,
        time_left=Seconds(progress.deadline - race.dispatcher.timers.now()),
        is_short=is_short,
        within_limit=race.rules.budget.has_hedge(progress.service),
    )


def _acquire(race: Race) -> HedgeRefusal | None:
    """Take a hedge from both budgets; return why none was granted."""
    service = race.progress.service
    now = race.dispatcher.timers.now()
    if race.dispatcher.check_send(race.progress.request) is not None:
        return HedgeRefusal.NOT_PERMITTED
    if not race.dispatcher.retry_budget.try_acquire_retry(service, now):
        return HedgeRefusal.RETRY_BUDGET
    race.rules.budget.take_hedge(service)
    return None


def _record_loser(race: Race) -> None:
    """Record the lateness so far of a first attempt that lost.

    Without it, the requests that hedges cut short would be missing from the
    estimate, and more and more would count as late.
    """
    duration = race.dispatcher.timers.now() - race.started_at
    race.rules.lateness.record(
        race.progress.service,
        race.progress.route.name,
        duration / get_expected(race.candidate),
        race.dispatcher.timers.now(),
    )


def _record_lateness(
    rules: HedgeRules,
    progress: RequestProgress,
    attempt: Attempt,
    started_at: Monotonic,
) -> None:
    if not attempt.is_served():
        return
    rules.lateness.record(
        progress.service,
        progress.route.name,
        compute_ratio(attempt),
        Monotonic(started_at + attempt.duration),
    )
