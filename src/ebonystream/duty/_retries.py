"""Delays after failed calls, and the decision to hand a duty over."""

import attrs

from ebonystream._ids import BootTime, FencingToken, Seconds

FIRST_DELAY = Seconds(0.2)
"""Delay after the first failure, in seconds; it doubles with each further one.
The first failure is often a lost answer, which a read clears up."""

MAX_DELAY = Seconds(4)
"""Upper bound on the delay, in seconds: each retry costs a billed append."""

REFUSAL_DELAY = Seconds(1)
"""Delay after a response that there were too many calls, in seconds."""

PATIENCE = Seconds(1)
"""How long failures may last before the duty is left to others, in seconds; at
least two. A longer time leaves the next host too little before a report is
late."""

UNFIT_TIME = Seconds(20)
"""How long a host that could not perform the duty leaves it to others, in
seconds."""

FIRST_TOKEN_STEP = 1
NEVER = BootTime(float('-inf'))


@attrs.define
class Retries:
    """Failures of one host in performing a duty.

    Attributes:
        retry_at: Time before which nothing is tried.
        failing_since: First failure since the last success; None if none.
        unfit_until: Time until which other hosts should perform the duty.
    """

    retry_at: BootTime = NEVER
    failing_since: BootTime | None = None
    unfit_until: BootTime = NEVER
    _delay: Seconds = FIRST_DELAY
    _token_step: int = FIRST_TOKEN_STEP

    def record_failure(self, now: BootTime) -> None:
        """Note that the store or the service did not answer.

        Args:
            now: The current time.
        """
        if self.failing_since is None:
            self.failing_since = now
        elif now - self.failing_since >= PATIENCE:
            self.unfit_until = BootTime(now + UNFIT_TIME)
        self.retry_at = BootTime(now + self._delay)
        self._delay = Seconds(min(2 * self._delay, MAX_DELAY))

    def record_refusal(self, now: BootTime) -> None:
        """Note that the service answered that there were too many calls.

        Args:
            now: The current time.
        """
        self.record_success()
        self.retry_at = BootTime(now + REFUSAL_DELAY)

    def record_success(self) -> None:
        """Note that the service answered."""
        self.failing_since = None
        self.unfit_until = NEVER
        self._delay = FIRST_DELAY
        self._token_step = FIRST_TOKEN_STEP

    def raise_token(self, token: FencingToken) -> FencingToken:
        """Return the highest token that is not used after a rejection.

        The service does not tell the token that it has seen, so the step
        doubles with each rejection.

        Args:
            token: The rejected token.
        """
        step = self._token_step
        self._token_step = 2 * step
        return FencingToken(token + step - 1)
