"""Rank of a call, which determines the order in which calls are served."""

import enum
from collections.abc import Callable, Mapping
from types import MappingProxyType

from ebonystream._timers import Timers
from ebonystream.call import Call
from ebonystream.configuration import PlanClass, PlanTable
from ebonystream.plan._guaranteed_rates import GuaranteedRates


class PlanRank(enum.IntEnum):
    """Ranks in the order of service; under overload the last are shed first."""

    PROMISED = 0
    STANDARD = 1
    ABOVE_RATE = 2
    """Calls above the guaranteed rate, served with spare capacity."""

    SPARE = 3
    SPARE_ABOVE_RATE = 4


RANKS_WITHIN_RATE: Mapping[PlanClass, PlanRank] = MappingProxyType(
    {
        PlanClass.PROMISED: PlanRank.PROMISED,
        PlanClass.STANDARD: PlanRank.STANDARD,
        PlanClass.SPARE: PlanRank.SPARE,
    }
)

RANKS_ABOVE_RATE: Mapping[PlanClass, PlanRank] = MappingProxyType(
    {
        PlanClass.PROMISED: PlanRank.ABOVE_RATE,
        PlanClass.STANDARD: PlanRank.ABOVE_RATE,
        PlanClass.SPARE: PlanRank.SPARE_ABOVE_RATE,
    }
)


MAX_WAIT_FRACTIONS: Mapping[PlanRank, float] = MappingProxyType(
    {
        PlanRank.PROMISED: 1,
        PlanRank.STANDARD: 0.5,
        PlanRank.ABOVE_RATE: 0.25,
        PlanRank.SPARE: 0.25,
        PlanRank.SPARE_ABOVE_RATE: 0.25,
    }
)
"""Fraction of its time limit, from its arrival to its deadline, that a call may
wait."""


def get_max_wait_fraction(rank: int) -> float:
    """Return the fraction of its time limit that a call of a rank may wait."""
    return MAX_WAIT_FRACTIONS[PlanRank(rank)]


def make_rank_call(
    *,
    get_plans: Callable[[], PlanTable | None],
    guaranteed_rates: GuaranteedRates,
    timers: Timers,
) -> Callable[[Call], int]:
    """Return a function that ranks calls.

    It must be called once for each call, since it counts the call against the
    customer's guaranteed rate.

    Args:
        get_plans: Returns the current plans; None before the first
            configuration has been received.
        guaranteed_rates: This host's shares of the guaranteed rates.
        timers: Clock that rates are measured with.
    """

    def rank(call: Call) -> int:
        plans = get_plans()
        plan = plans.find_plan(call.customer) if plans else None
        if plan is None:
            return PlanRank.SPARE_ABOVE_RATE
        within_rate = guaranteed_rates.try_acquire(
            call.customer, plan, timers.now()
        )
        ranks = RANKS_WITHIN_RATE if within_rate else RANKS_ABOVE_RATE
        return ranks[plan.plan_class]

    return rank
