"""Plans: guaranteed rates, ranks of calls, and budgets for extra attempts."""

from ebonystream.plan._budget import BudgetRatio, ExtraAttemptBudget
from ebonystream.plan._guaranteed_rates import GuaranteedRates
from ebonystream.plan._rank import (
    PlanRank,
    get_max_wait_fraction,
    make_rank_call,
)
from ebonystream.plan._token_bucket import TokenBucket

__all__ = (
    'ExtraAttemptBudget',
    'BudgetRatio',
    'GuaranteedRates',
    'TokenBucket',
    'PlanRank',
    'get_max_wait_fraction',
    'make_rank_call',
)
