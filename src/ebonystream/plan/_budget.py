"""Budget for extra attempts (retries and hedges), a ratio of first attempts.

The budget keeps extra attempts from amplifying an overload: they can never
exceed a fixed ratio of the first attempts by more than the initial tokens.
"""

import enum

import attrs


class BudgetRatio(float, enum.Enum):
    """Extra attempts allowed for each first attempt."""

    RETRY = 0.1
    HEDGE = 0.05


INITIAL_TOKENS = 3
"""Tokens of a new budget."""

MAX_TOKENS = 10
"""Upper bound on the tokens that a budget accumulates."""


@attrs.define
class ExtraAttemptBudget:
    """Limits the extra attempts of one kind on this host.

    Attributes:
        ratio: Tokens added for each first attempt.
        tokens: Tokens available now; an extra attempt takes one.
        first_attempts: Number of first attempts so far.
        extra_attempts: Number of extra attempts so far.
    """

    ratio: BudgetRatio
    tokens: float = INITIAL_TOKENS
    first_attempts: int = 0
    extra_attempts: int = 0

    def record_first_attempt(self) -> None:
        """Record a first attempt."""
        self.first_attempts += 1
        self.tokens = min(MAX_TOKENS, self.tokens + self.ratio)

    def try_acquire(self) -> bool:
        """Take an extra attempt from the budget; return whether granted."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        self.extra_attempts += 1
        allowed = INITIAL_TOKENS + self.first_attempts * self.ratio
        assert self.extra_attempts <= allowed + 1, (
            'more second attempts than the budget'
        )
        return True
