"""The budget of second attempts: this host's part of a shared bound."""

from collections import deque
from collections.abc import Callable

import attrs

from ebonystream._ids import Monotonic, Seconds, ServiceName

SAFETY_FACTOR = 0.8
"""The share of the bound that is used, as windows of hosts don't agree."""


CountHosts = Callable[[], int]


@attrs.frozen(kw_only=True)
class RetryLimits:
    """The bound that all hosts share, for each service.

    Attributes:
        ratio: Second attempts for each first one.
        base_retries: Second attempts beside these, in each window.
        window: The length of a window, in seconds.
    """

    ratio: float
    base_retries: float
    window: Seconds


@attrs.define
class _Window:
    firsts: deque[Monotonic] = attrs.field(factory=deque)
    repeats: deque[Monotonic] = attrs.field(factory=deque)

    def forget(self, before: float) -> None:
        """Forget what is older than the window."""
        for times in (self.firsts, self.repeats):
            while times and times[0] < before:
                times.popleft()


@attrs.define
class RetryBudget:
    """Counts first and second attempts of this host, by service.

    Attributes:
        limits: The bound that all hosts share.
        count_hosts: Counts the hosts over which the slack is spread.
    """

    limits: RetryLimits
    count_hosts: CountHosts
    _windows: dict[ServiceName, _Window] = attrs.field(factory=dict)

    def record_first_attempt(
        self, service: ServiceName, now: Monotonic
    ) -> None:
        """Count a request's first attempt.

        Args:
            service: Where it goes.
            now: The time.
        """
        self._get(service, now).firsts.append(now)

    def try_acquire_retry(self, service: ServiceName, now: Monotonic) -> bool:
        """Take a second attempt from the budget, if there is one.

        Args:
            service: Where it goes.
            now: The time.
        """
        window = self._get(service, now)
        slack = self.limits.base_retries / max(1, self.count_hosts())
        allowed = SAFETY_FACTOR * (
            self.limits.ratio * len(window.firsts) + slack
        )
        if len(window.repeats) + 1 > allowed:
            return False
        window.repeats.append(now)
        return True

    def _get(self, service: ServiceName, now: Monotonic) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.forget(now - self.limits.window)
        return window
