"""A token bucket, which limits a rate and allows bursts."""

import attrs

from ebonystream._ids import Monotonic


@attrs.define(kw_only=True)
class TokenBucket:
    """Limits the rate of calls.

    Attributes:
        rate: Tokens added per second; each call takes one.
        burst: Upper bound on the tokens.
        tokens: Tokens available at the last update.
        updated_at: When the tokens were last updated, on the monotonic clock.
    """

    rate: float
    burst: float
    tokens: float
    updated_at: Monotonic

    def try_acquire(self, now: Monotonic) -> bool:
        """Take a token and return whether one was available."""
        refilled = self.tokens + self.rate * (now - self.updated_at)
        self.tokens = min(self.burst, refilled)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def resize(self, *, rate: float, burst: float, now: Monotonic) -> None:
        """Change the rate and the burst; tokens above the burst are dropped.

        Args:
            rate: New rate, in tokens per second.
            burst: New upper bound on the tokens.
            now: Current time on the monotonic clock, in seconds.
        """
        refilled = self.tokens + self.rate * (now - self.updated_at)
        self.updated_at = now
        self.rate = rate
        self.burst = burst
        self.tokens = min(burst, refilled)
