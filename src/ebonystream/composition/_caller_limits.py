"""Limits on what callers make a host hold."""

import resource
from collections.abc import Mapping
from functools import partial

from ebonystream.composition._gauges import GAUGE_HELP_TEXTS
from ebonystream.composition._parts import Parts
from ebonystream.decisionlog import EventLogger, LineBuffer, make_event_logger
from ebonystream.ingress import (
    CloseReason,
    Closings,
    MemoryBudget,
    OpenConnections,
    divide_descriptors,
)
from ebonystream.metrics import ReadGauge

UNLIMITED_DESCRIPTORS = 1_048_576


def make_caller_connections(parts: Parts) -> OpenConnections:
    """Make the open connections of callers, and the budget of their bytes.

    Args:
        parts: The parts of this host.
    """
    settings = parts.settings.callers
    # The buffer only counts dropped lines: eliot writes the others itself.
    log_event = make_event_logger(
        timers=parts.timers, buffer=LineBuffer(write_nonblocking=len)
    )
    budget = MemoryBudget(settings.max_memory_bytes)
    budget.closings = Closings(partial(_log_end, log_event, budget))
    _add_gauges(parts, budget)
    shares = divide_descriptors(_read_max_descriptors(), budget.max_bytes)
    return OpenConnections(
        limit=min(settings.max_connections, shares.callers), budget=budget
    )


def _log_end(
    log_event: EventLogger,
    budget: MemoryBudget,
    reason: CloseReason,
    freed_bytes: int,
) -> None:
    log_event(
        'connection_closed',
        why=reason.value,
        bytes=freed_bytes,
        used_bytes=budget.book.used_bytes,
        max_bytes=budget.max_bytes,
    )


def _add_gauges(parts: Parts, budget: MemoryBudget) -> None:
    closings = budget.closings
    gauges: Mapping[str, ReadGauge] = {
        'ebonystream_client_memory_bytes': lambda: budget.book.used_bytes,
        'ebonystream_memory_refusals_total': lambda: closings.refused_requests,
        'ebonystream_memory_shed_total': lambda: closings.shed_requests,
        'ebonystream_connections_closed_total': lambda: (
            closings.closed_connections
        ),
    }
    for name, read in gauges.items():
        parts.metrics.page.add_gauge(name, GAUGE_HELP_TEXTS[name], read)


def _read_max_descriptors() -> int:
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return UNLIMITED_DESCRIPTORS
    return soft_limit
