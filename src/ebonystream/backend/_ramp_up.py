"""Concurrency limit of a backend server while it is starting."""

import attrs

from ebonystream._ids import Monotonic, Seconds

COLD_LIMIT = 1
"""Concurrent calls to a cold server, over all entry hosts."""

RESPONSES_TO_FIRST_STEP = 24
"""Consecutive responses before the limit of a cold server is raised once."""

RESPONSES_PER_STEP = 8
"""Consecutive responses for each further raise of the limit by one call."""

MAX_DOUBLINGS = 32
"""Number of failures from which the backoff is not doubled any more."""

FIRST_FAILURE_BACKOFF = Seconds(0.1)
"""How long a starting server gets no calls after its first failure."""

MAX_FAILURE_BACKOFF = Seconds(2)
"""Upper bound on the time without calls after consecutive failures."""


@attrs.define
class RampUp:
    """Concurrency limit that is raised with responses, not with time.

    Attributes:
        limit: Number of concurrent calls allowed at the server.
        responses: Consecutive responses since the limit was raised or reset.
        failures: Consecutive failures since the last response.
        avoid_until: Until when the server gets no calls after a failure.
        reset_at: When the limit was last reset.
        responded_at: When the latest response was received.
    """

    limit: int = COLD_LIMIT
    responses: int = 0
    failures: int = 0
    avoid_until: Monotonic = Monotonic(0)
    reset_at: Monotonic = Monotonic(0)
    responded_at: Monotonic = Monotonic(0)

    def reset(self, now: Monotonic) -> None:
        """Reset the limit to that of a cold server.

        Args:
            now: Current time of the monotonic clock, in seconds.
        """
        self.limit = COLD_LIMIT
        self.responses = 0
        self.reset_at = now

    def record_failure(self, now: Monotonic) -> None:
        """Reset the limit and back off; consecutive failures double the time.

        Args:
            now: Current time of the monotonic clock, in seconds.
        """
        self.reset(now)
        doublings = min(self.failures, MAX_DOUBLINGS)
        backoff = min(MAX_FAILURE_BACKOFF, FIRST_FAILURE_BACKOFF * 2**doublings)
        self.failures += 1
        self.avoid_until = Monotonic(now + backoff)

    def record_response(self, slots: int, now: Monotonic) -> bool:
        """Record a response and return whether the server is warmed up.

        Args:
            slots: Number of calls that the server processes concurrently.
            now: Current time of the monotonic clock, in seconds.
        """
        self.failures = 0
        self.responses += 1
        self.responded_at = now
        is_first = self.limit == COLD_LIMIT
        needed = RESPONSES_TO_FIRST_STEP if is_first else RESPONSES_PER_STEP
        if self.responses < needed:
            return False
        if self.limit >= slots:
            return True
        self.responses = 0
        self.limit += 1
        return False
