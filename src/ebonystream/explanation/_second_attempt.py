"""What a second attempt of a request would do."""

import copy

from ebonystream._ids import Seconds, ServerId
from ebonystream.dispatch import HedgeRules, RequestProgress, RetryBudget
from ebonystream.explanation._explanation import SecondAttempt
from ebonystream.hedging import HedgeFigures, find_refusal
from ebonystream.placement import SearchContext, list_usable_servers

HEDGING_OFF = 'off'
HEDGE_PERMITTED = 'permitted'


def explain_second_attempt(
    context: SearchContext,
    progress: RequestProgress,
    *,
    budget: RetryBudget,
    hedging: HedgeRules | None,
) -> SecondAttempt:
    """Explain what a second attempt would do.

    Args:
        context: Dependencies of the search, on a copy of the state.
        progress: The request before its first attempt.
        budget: A copy of the retry budget.
        hedging: Rules of hedging; None where it is switched off.
    """
    now = context.timers.now()
    second = copy.copy(progress)
    # Which server the first attempt goes to depends on the probes.
    second.record_start(ServerId(''))
    servers = list_usable_servers(context, second.make_placement_request())
    budget.record_first_attempt(progress.service, now)
    return SecondAttempt(
        repeatable=progress.is_retryable(),
        attempts_left=progress.route.attempts - second.attempt_count,
        within_budget=budget.try_acquire_retry(progress.service, now),
        hedge=_explain_hedge(context, second, hedging),
        candidates=tuple(
            server.entry.id for group in servers for server in group
        ),
    )


def _explain_hedge(
    context: SearchContext, second: RequestProgress, rules: HedgeRules | None
) -> str:
    if rules is None:
        return HEDGING_OFF
    refusal = find_refusal(
        HedgeFigures(
            repeatable=second.is_retryable(),
            attempts_left=second.route.attempts - second.attempt_count,
            expected=context.processing_times.get(second.route),
            time_left=Seconds(second.deadline - context.timers.now()),
            is_short=False,
            within_limit=rules.budget.has_hedge(second.service),
        )
    )
    return HEDGE_PERMITTED if refusal is None else refusal.value
