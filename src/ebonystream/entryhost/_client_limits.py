"""Limits on what the clients of an entry host make it hold."""

from ebonystream.decisionlog import EventLogger
from ebonystream.entryhost._settings import HostLimits
from ebonystream.ingress import (
    CloseReason,
    Closings,
    ConnectionShares,
    MemoryBudget,
    OpenConnections,
    divide_descriptors,
)

LOGGED_AS_RESPONSES = frozenset((CloseReason.REFUSED, CloseReason.SLOW_SENDER))
"""Their responses have log lines of their own."""


def make_caller_connections(
    limits: HostLimits, log_event: EventLogger
) -> OpenConnections:
    """Make the open connections of callers, and the budget of their bytes.

    Args:
        limits: Limits that the platform sets.
        log_event: Writes an event to the decision log.
    """

    def log_close(reason: CloseReason, freed_bytes: int) -> None:
        if reason in LOGGED_AS_RESPONSES:
            return
        log_event(
            'connection_closed',
            why=reason.value,
            freed_bytes=freed_bytes,
            used_bytes=budget.book.used_bytes,
            max_bytes=budget.max_bytes,
            open=connections.open_count,
            max_open=connections.limit,
        )

    budget = MemoryBudget(limits.client_memory_bytes, Closings(log_close))
    connections = OpenConnections(
        limit=compute_connection_shares(limits).callers, budget=budget
    )
    return connections


def compute_connection_shares(limits: HostLimits) -> ConnectionShares:
    """Compute how many connections each listener may have.

    Args:
        limits: Limits that the platform sets.
    """
    return divide_descriptors(
        limits.max_descriptors, limits.client_memory_bytes
    )
