"""Budget for extra attempts (retries and hedges), a ratio of first attempts.

The budget keeps extra attempts from amplifying an overload: they can never
exceed a fixed ratio of the first attempts by more than the initial tokens.
"""

import enum

import attrs


class BudgetShare(float, enum.Enum):
    """Extra attempts allowed for each first attempt."""

    RETRY = 0.1
    HEDGE = 0.05


FIRST_TOKENS = 3
"""Tokens of a new budget."""

MOST_TOKENS = 10
"""Upper bound on the tokens that a budget accumulates."""


@attrs.define
class Budget:
    """Limits the extra attempts of one kind on this host.

    Attributes:
        share: Tokens added for each first attempt.
        tokens: Tokens available now; an extra attempt takes one.
        earned: Number of first attempts so far.
        spent: Number of extra attempts so far.
    """

    share: BudgetShare
    tokens: float = FIRST_TOKENS
    earned: int = 0
    spent: int = 0

    def earn(self) -> None:
        """Record a first attempt."""
        self.earned += 1
        self.tokens = min(MOST_TOKENS, self.tokens + self.share)

    def spend(self) -> bool:
        """Take an extra attempt from the budget; return whether granted."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        self.spent += 1
        allowed = FIRST_TOKENS + self.earned * self.share
        assert self.spent <= allowed + 1, 'more second attempts than the budget'
        return True
