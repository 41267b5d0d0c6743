"""This host's share of the retries that all hosts may make."""

from functools import partial

from ebonystream.dispatch import RetryBudget, RetryLimits
from ebonystream.entryhost._parts import HostParts

MIN_BUDGET_HOSTS = 20
"""Lower bound on the number of hosts that the retry budget is divided by: a
host that has just started, or is partitioned, knows few others."""


def make_retry_budget(parts: HostParts) -> RetryBudget:
    """Make the budget of retries of this host.

    Args:
        parts: The state of the host.
    """
    limits = parts.settings.limits
    return RetryBudget(
        limits=RetryLimits(
            ratio=limits.retry_ratio,
            base_retries=limits.base_retries,
            window=limits.retry_window,
        ),
        count_hosts=partial(_count_hosts, parts),
    )


def _count_hosts(parts: HostParts) -> int:
    peers = parts.facts.list_peers(parts.timers.now())
    return max(MIN_BUDGET_HOSTS, len(peers) + 1)
