"""Retry budget: this host's share of a limit that all hosts have in common."""

from collections import deque
from collections.abc import Callable

import attrs

from ebonystream._ids import Monotonic, Seconds, ServiceName

SAFETY_FACTOR = 0.8
"""Share of the limit that is used, as the hosts' windows are not aligned."""


CountHosts = Callable[[], int]


@attrs.frozen(kw_only=True)
class RetryLimits:
    """The limit on retries of each service, over all hosts.

    Attributes:
        ratio: Retries allowed for each first attempt.
        base_retries: Retries allowed in each window in addition to the ratio.
        window: Length of the sliding window, in seconds.
    """

    ratio: float
    base_retries: float
    window: Seconds


@attrs.define
class _Window:
    firsts: deque[Monotonic] = attrs.field(factory=deque)
    retries: deque[Monotonic] = attrs.field(factory=deque)

    def evict(self, before: float) -> None:
        """Remove the attempts that are older than the window."""
        for times in (self.firsts, self.retries):
            while times and times[0] < before:
                times.popleft()


@attrs.define
class RetryBudget:
    """Limits the retries that this host sends to each service.

    Attributes:
        limits: The limit over all hosts.
        count_hosts: Returns the number of hosts that share the base retries.
    """

    limits: RetryLimits
    count_hosts: CountHosts
    _windows: dict[ServiceName, _Window] = attrs.field(factory=dict)

    def record_first_attempt(
        self, service: ServiceName, now: Monotonic
    ) -> None:
        """Record the first attempt of a request.

        Args:
            service: Service that the request is sent to.
            now: Current time on the monotonic clock, in seconds.
        """
        self._get_window(service, now).firsts.append(now)

    def try_acquire_retry(self, service: ServiceName, now: Monotonic) -> bool:
        """Take one retry from the budget and return whether it was granted.

        Args:
            service: Service that the request is sent to.
            now: Current time on the monotonic clock, in seconds.
        """
        window = self._get_window(service, now)
        base_retries = self.limits.base_retries / max(1, self.count_hosts())
        allowed = SAFETY_FACTOR * (
            self.limits.ratio * len(window.firsts) + base_retries
        )
        if len(window.retries) + 1 > allowed:
            return False
        window.retries.append(now)
        return True

    def copy(self, count_hosts: CountHosts) -> 'RetryBudget':
        """Return a copy; retries taken from it leave this budget as it is.

        Args:
            count_hosts: Returns the number of hosts for the copy.
        """
        windows = {
            service: _Window(deque(window.firsts), deque(window.retries))
            for service, window in self._windows.items()
        }
        return RetryBudget(
            limits=self.limits, count_hosts=count_hosts, windows=windows
        )

    def _get_window(self, service: ServiceName, now: Monotonic) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.evict(now - self.limits.window)
        return window
