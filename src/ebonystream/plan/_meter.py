"""A token bucket: a rate that is granted, with room for a burst."""

import attrs

from ebonystream._ids import Monotonic


@attrs.define(kw_only=True)
class Meter:
    """Tells whether calls stay within a rate.

    Attributes:
        rate: Calls in each second.
        burst: Calls that may come at once.
        tokens: Calls that may come now.
        at: When the tokens were counted.
    """

    rate: float
    burst: float
    tokens: float
    at: Monotonic

    def take(self, now: Monotonic) -> bool:
        """Count a call; False where it goes beyond the rate."""
        grown = self.tokens + self.rate * (now - self.at)
        self.tokens = min(self.burst, grown)
        self.at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def resize(self, *, rate: float, burst: float, now: Monotonic) -> None:
        """Change the rate from now on; tokens beyond the burst are lost."""
        grown = self.tokens + self.rate * (now - self.at)
        self.at = now
        self.rate = rate
        self.burst = burst
        self.tokens = min(burst, grown)
