"""Wiring of the retries and hedges that the plans of customers allow."""

import attrs

from ebonystream._ids import Seconds
from ebonystream.backend import (
    Dispatch,
    make_basic_figures,
    make_hedged_run,
    make_idempotent_run,
)
from ebonystream.call import Call, RunCall
from ebonystream.composition._policy import Policy
from ebonystream.configuration import ControlReplica, PlanAllowance
from ebonystream.hedging import HedgeFigures, compute_hedge_delay
from ebonystream.plan import BudgetRatio, ExtraAttemptBudget

HEDGE_LATENCY_FACTOR = 3
"""Multiple of the usual latency of its route after which a call is hedged."""


def make_run_with_extra_attempts(
    policy: Policy, dispatch: Dispatch, control: ControlReplica
) -> RunCall:
    """Make the function that runs idempotent calls with retries and hedges.

    The plan of the customer sets how many retries a call may make and whether
    it may be hedged.

    Args:
        policy: The overload policy of this host.
        dispatch: Makes one attempt.
        control: The configuration in force.
    """
    retry_budget = ExtraAttemptBudget(BudgetRatio.RETRY)
    hedge_budget = ExtraAttemptBudget(BudgetRatio.HEDGE)

    def find_plan(call: Call) -> PlanAllowance | None:
        plans = control.get_plans()
        return plans.find_plan(call.customer) if plans else None

    def get_max_retries(call: Call) -> int:
        plan = find_plan(call)
        return plan.retries if plan else 0

    def get_hedge_delay(call: Call) -> Seconds | None:
        plan = find_plan(call)
        usual_latency = policy.usual_latencies.get_usual(call.route)
        if plan is None or not plan.hedging or not usual_latency:
            return None
        return compute_hedge_delay(usual_latency, HEDGE_LATENCY_FACTOR)

    def make_figures(call: Call) -> HedgeFigures:
        return attrs.evolve(
            make_basic_figures(call),
            expected=policy.usual_latencies.get_usual(call.route),
            time_left=Seconds(call.deadline - policy.timers.now()),
        )

    def record_first_attempt() -> None:
        retry_budget.record_first_attempt()
        hedge_budget.record_first_attempt()

    return make_hedged_run(
        run=make_idempotent_run(
            dispatch=dispatch,
            timers=policy.timers,
            get_max_retries=get_max_retries,
            try_acquire_retry=retry_budget.try_acquire,
        ),
        get_hedge_delay=get_hedge_delay,
        try_acquire_hedge=hedge_budget.try_acquire,
        record_first_attempt=record_first_attempt,
        make_figures=make_figures,
    )
