"""Wires the second attempts that customers bought: retries and hedges."""

from ebonystream._ids import Seconds
from ebonystream.backend import Dispatch, make_hedged_run, make_idempotent_run
from ebonystream.call import Call, RunCall
from ebonystream.composition._policy import Policy
from ebonystream.configuration import ControlReplica, PlanAllowance
from ebonystream.plan import BudgetRatio, ExtraAttemptBudget

HEDGE_AFTER = 3
"""A call is late when it has taken this many usual times of its route."""


def make_bought_run(
    policy: Policy, dispatch: Dispatch, control: ControlReplica
) -> RunCall:
    """Make the function that runs idempotent calls as their plans say.

    Args:
        policy: The policy of this host.
        dispatch: Makes one attempt.
        control: The configuration in force.
    """
    retries = ExtraAttemptBudget(BudgetRatio.RETRY)
    hedges = ExtraAttemptBudget(BudgetRatio.HEDGE)

    def find_plan(call: Call) -> PlanAllowance | None:
        plans = control.get_plans()
        return plans.find_plan(call.customer) if plans else None

    def count_retries(call: Call) -> int:
        plan = find_plan(call)
        return plan.retries if plan else 0

    def get_delay(call: Call) -> Seconds | None:
        plan = find_plan(call)
        usual = policy.usual.get_usual(call.route)
        if plan is None or not plan.hedging or not usual:
            return None
        return Seconds(HEDGE_AFTER * usual)

    def earn() -> None:
        retries.record_first_attempt()
        hedges.record_first_attempt()

    return make_hedged_run(
        run=make_idempotent_run(
            dispatch=dispatch,
            timers=policy.timers,
            get_max_retries=count_retries,
            try_acquire_retry=retries.try_acquire,
        ),
        get_hedge_delay=get_delay,
        try_acquire_hedge=hedges.try_acquire,
        record_first_attempt=earn,
    )
