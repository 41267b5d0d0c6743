"""The order in which waiting calls are served, by what was promised."""

import enum
from collections.abc import Callable, Mapping
from types import MappingProxyType

from ebonystream._timers import Timers
from ebonystream.call import Call
from ebonystream.configuration import PlanClass, PlanTable
from ebonystream.plan._guarantees import Guarantees


class PlanRank(enum.IntEnum):
    """Who goes first; the last are refused first."""

    PROMISED = 0
    STANDARD = 1
    BEYOND = 2
    """Calls beyond the guaranteed rate: they use what others leave."""

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
"""The part of its time that a call may wait before it is refused."""


def get_patience(rank: int) -> float:
    """Give the part of its time that a call of a rank may wait."""
    return PATIENCE[PlanRank(rank)]


def make_ranking(
    *,
    get_plans: Callable[[], PlanTable | None],
    guarantees: Guarantees,
    timers: Timers,
) -> Callable[[Call], int]:
    """Make the function that ranks calls; each call is ranked once.

    Args:
        get_plans: Gives the plans in force.
        guarantees: What is left of the guaranteed rates.
        timers: Tells the time.
    """

    def rank(call: Call) -> int:
        plans = get_plans()
        plan = plans.find_plan(call.customer) if plans else None
        if plan is None:
            return PlanRank.SPARE_BEYOND
        within = guarantees.take(call.customer, plan, timers.now())
        ranks = WITHIN if within else BEYOND
        return ranks[plan.plan_class]

    return rank
