"""Plans: guaranteed rates, ranks of calls, and budgets for extra attempts."""

from ebonystream.plan._budget import Budget, BudgetShare
from ebonystream.plan._guarantees import Guarantees
from ebonystream.plan._meter import Meter
from ebonystream.plan._rank import PlanRank, get_patience, make_ranking

__all__ = (
    'Budget',
    'BudgetShare',
    'Guarantees',
    'Meter',
    'PlanRank',
    'get_patience',
    'make_ranking',
)
