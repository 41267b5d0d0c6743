"""Limits on what the clients of an entry host make it hold."""

from ebonystream.decisionlog import EventLogger
from ebonystream.entryhost._settings import HostLimits
from ebonystream.ingress import (
    CloseReason,
    ConnectionShares,
    MemoryBudget,
    OpenConnections,
    divide_descriptors,
)


def make_caller_connections(
    limits: HostLimits, log_event: EventLogger
) -> OpenConnections:
    """Make the open connections of callers, and the budget of their bytes.

    Args:
        limits: Limits that the platform sets.
        log_event: Writes an event to the decision log.
    """

    def log_close(reason: CloseReason, freed_bytes: int) -> None:
        log_event(
            'connection_closed',
            why=reason.value,
            freed_bytes=freed_bytes,
            used_bytes=budget.used_bytes,
            max_bytes=budget.max_bytes,
            open=connections.open_count,
            max_open=connections.limit,
        )

    budget = MemoryBudget(limits.client_memory_bytes, log_close)
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
