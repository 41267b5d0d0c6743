"""How long this host may rely on its orders without the store.

The proof that its orders are the newest is a lease, which a read of the store
renews, by this host or by the one that it fetches from. A host whose lease ends
reads the store itself, whatever its peers say or leave unsaid.
"""

from ebonystream._ids import Seconds
from ebonystream.entryhost._parts import HostParts

KEYS_SHARE = 0.95
"""Share of the bound on revocation for which a configuration counts as fresh.
The rest covers clocks of different rates."""

POLL_SHARE = 0.4
"""Share of the bound that one long poll for new orders may take, with its way
to the store and back. The proof of a zone leader becomes as old, and a host has
the rest of the bound to find another source."""

SHORT_SHARE = 0.65
"""Share of the bound from which a host asks the leaders of other zones."""

SHORT_LEASE_POLL = Seconds(0.1)
"""Upper bound on one long poll from then on, in seconds: its result counts from
its start."""

STALE_SHARE = 0.8
"""Share of the bound from which any host reads the store itself."""

MIN_BOUND = Seconds(1)
"""Hosts can't confirm orders to each other more often, in seconds."""

MAX_POLL = Seconds(2)
"""Upper bound on one long poll, in seconds."""


def is_fresh(parts: HostParts) -> bool:
    """Return whether the configuration is fresh enough to judge a key.

    Args:
        parts: The state of the host.
    """
    revoke = parts.settings.limits.revoke
    if revoke is None:
        return True
    return _is_within(parts, Seconds(revoke * KEYS_SHARE))


def get_orders_bound(parts: HostParts) -> Seconds:
    """Return how old the proof of the orders may become, in seconds.

    Args:
        parts: The state of the host.
    """
    limits = parts.settings.limits
    bound = limits.apply_time
    if limits.revoke is not None:
        bound = min(bound, limits.revoke)
    return max(bound, MIN_BOUND)


def is_proven(parts: HostParts) -> bool:
    """Return whether the proof of the orders is within its bound.

    Args:
        parts: The state of the host.
    """
    return _is_within(parts, get_orders_bound(parts))


def is_lease_short(parts: HostParts) -> bool:
    """Return whether to ask the leaders of other zones for the orders.

    Args:
        parts: The state of the host.
    """
    return not _is_within(parts, Seconds(get_orders_bound(parts) * SHORT_SHARE))


def is_lease_ending(parts: HostParts) -> bool:
    """Return whether to read the orders from the store, on any host.

    Args:
        parts: The state of the host.
    """
    return not _is_within(parts, Seconds(get_orders_bound(parts) * STALE_SHARE))


def is_store_needed(parts: HostParts) -> bool:
    """Return whether this host alone lacks a proof that the store gives.

    The lease of its orders ends, while peers have had a response of the store.

    Args:
        parts: The state of the host.
    """
    limit = get_orders_bound(parts) * STALE_SHARE
    peers = parts.facts.list_alive_with_age(parts.timers.now())
    return is_lease_ending(parts) and any(
        facts.proof_age is not None and facts.proof_age + age <= limit
        for facts, age in peers
    )


def get_orders_poll(parts: HostParts) -> Seconds:
    """Return the upper bound on one long poll for new orders, in seconds.

    Args:
        parts: The state of the host.
    """
    if is_lease_short(parts):
        return SHORT_LEASE_POLL
    in_time = get_orders_bound(parts) * POLL_SHARE - parts.store_latency
    return Seconds(min(MAX_POLL, max(SHORT_LEASE_POLL, in_time)))


def _is_within(parts: HostParts, limit: Seconds) -> bool:
    return parts.orders.freshness.is_within(limit, parts.timers.boot_now())
