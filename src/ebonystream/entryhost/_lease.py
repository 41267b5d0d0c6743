"""How long this host may judge the keys of callers without the store."""

from ebonystream._ids import Seconds
from ebonystream.entryhost._parts import HostParts

LEASE_SHARE = 0.95
"""Share of the bound on revocation for which a configuration counts as fresh.
The rest covers clocks of different rates."""

POLL_SHARE = 0.2
"""Share of the bound that one long poll for new orders may take, with its way
to the store and back. The proof of a zone leader then reaches the age of two
fifths of the bound, and a host has half of it left to find another source."""

SHORT_SHARE = 0.55
"""Share of the bound from which a host asks the leaders of other zones."""

SHORT_LEASE_POLL = Seconds(0.1)
"""Upper bound on one long poll from then on, in seconds: its result counts from
its start."""

STALE_SHARE = 0.8
"""Share of the bound from which any host reads the store itself."""


def is_fresh(parts: HostParts) -> bool:
    """Return whether the configuration is fresh enough to judge a key.

    Args:
        parts: The state of the host.
    """
    return _is_within(parts, LEASE_SHARE)


def is_lease_short(parts: HostParts) -> bool:
    """Return whether to ask the leaders of other zones for the orders.

    Args:
        parts: The state of the host.
    """
    return not _is_within(parts, SHORT_SHARE)


def is_lease_ending(parts: HostParts) -> bool:
    """Return whether to read the orders from the store, on any host.

    Args:
        parts: The state of the host.
    """
    return not _is_within(parts, STALE_SHARE)


def get_orders_poll(parts: HostParts, usual: Seconds) -> Seconds:
    """Return the upper bound on one long poll for new orders, in seconds.

    Args:
        parts: The state of the host.
        usual: The bound where revocation is not strict, in seconds.
    """
    revoke = parts.settings.limits.revoke
    if revoke is None:
        return usual
    if is_lease_short(parts):
        return SHORT_LEASE_POLL
    in_time = revoke * POLL_SHARE - parts.store_latency
    return Seconds(min(usual, max(SHORT_LEASE_POLL, in_time)))


def _is_within(parts: HostParts, share: float) -> bool:
    revoke = parts.settings.limits.revoke
    if revoke is None:
        return True
    return parts.orders.freshness.is_within(
        Seconds(revoke * share), parts.timers.boot_now()
    )
