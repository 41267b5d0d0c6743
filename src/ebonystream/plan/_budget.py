"""The budget of second attempts: a share of the first ones.

Retries and hedges end by themselves where they would do harm: under an
overload each first attempt earns no more than its share.
"""

import enum

import attrs


class BudgetShare(float, enum.Enum):
    """How many second attempts one first attempt earns."""

    RETRY = 0.1
    HEDGE = 0.05


FIRST_TOKENS = 3
"""What a budget starts with."""

MOST_TOKENS = 10
"""The most that a budget saves up."""


@attrs.define
class Budget:
    """What may be spent on second attempts.

    Attributes:
        share: What each first attempt earns.
        tokens: Second attempts that may be made now.
        earned: First attempts so far.
        spent: Second attempts so far.
    """

    share: BudgetShare
    tokens: float = FIRST_TOKENS
    earned: int = 0
    spent: int = 0

    def earn(self) -> None:
        """Count a first attempt."""
        self.earned += 1
        self.tokens = min(MOST_TOKENS, self.tokens + self.share)

    def spend(self) -> bool:
        """Take a second attempt out of the budget; False where it is empty."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        self.spent += 1
        most = FIRST_TOKENS + self.earned * self.share
        assert self.spent <= most + 1, 'more second attempts than the budget'
        return True
