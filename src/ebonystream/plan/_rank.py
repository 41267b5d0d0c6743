"""Rank of a call, which determines the order in which calls are served."""

import enum
from collections.abc import Callable, Mapping
from types import MappingProxyType

from ebonystream._timers import Timers
from ebonystream.call import Call
from ebonystream.configuration import PlanClass, PlanTable
from ebonystream.plan._guarantees import Guarantees


class PlanRank(enum.IntEnum):
    """Ranks in the order of service; under overload the last are shed first."""

    PROMISED = 0
    STANDARD = 1
    BEYOND = 2
    """Calls above the guaranteed rate, served with spare capacity."""

    SPARE = 3
    SPARE_BEYOND = 4


WITHIN: Mapping[PlanClass, PlanRank] = MappingProxyType(
    {
        PlanClass.PROMISED: PlanRank.PROMISED,
        PlanClass.STANDARD: PlanRank.STANDARD,
        PlanClass.SPARE: PlanRank.SPARE,
    }
)

BEYOND: Mapping[PlanClass, PlanRank] = MappingProxyType(
    {
        PlanClass.PROMISED: PlanRank.BEYOND,
        PlanClass.STANDARD: PlanRank.BEYOND,
        PlanClass.SPARE: PlanRank.SPARE_BEYOND,
    }
)


PATIENCE: Mapping[PlanRank, float] = MappingProxyType(
    {
        PlanRank.PROMISED: 1,
        PlanRank.STANDARD: 0.5,
        PlanRank.BEYOND: 0.25,
        PlanRank.SPARE: 0.25,
        PlanRank.SPARE_BEYOND: 0.25,
    }
)
"""Fraction of the time until its deadline that a call may spend waiting."""


def get_patience(rank: int) -> float:
    """Return the fraction of its time that a call of a rank may wait."""
    return PATIENCE[PlanRank(rank)]


def make_ranking(
    *,
    get_plans: Callable[[], PlanTable | None],
    guarantees: Guarantees,
    timers: Timers,
) -> Callable[[Call], int]:
    """Return a function that ranks calls.

    It must be called once for each call, since it counts the call against the
    customer's guaranteed rate.

    Args:
        get_plans: Returns the current plans; None before the first
            configuration has been received.
        guarantees: This host's shares of the guaranteed rates.
        timers: Clock that rates are measured with.
    """

    def rank(call: Call) -> int:
        plans = get_plans()
        plan = plans.find_plan(call.customer) if plans else None
        if plan is None:
            return PlanRank.SPARE_BEYOND
        within_rate = guarantees.take(call.customer, plan, timers.now())
        ranks = WITHIN if within_rate else BEYOND
        return ranks[plan.plan_class]

    return rank
