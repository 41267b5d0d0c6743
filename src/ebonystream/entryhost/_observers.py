"""Observers of attempts: state updates, log lines and metrics."""

from collections.abc import Mapping
from functools import partial
from types import MappingProxyType

from ebonystream.dispatch import Attempt, ObserveAttempt
from ebonystream.entryhost._crashes import update_suspects_from_attempt
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._request_log import log_attempt, log_notice
from ebonystream.entryhost._version_moves import record_move_attempt
from ebonystream.link import ExchangeFailure
from ebonystream.placement import ProbeResult
from ebonystream.request import Request, ResponseVerdict
from ebonystream.roster import HealthReport
from ebonystream.route import Route

# Weights with which the results of attempts count as failures of the server.
UNREACHABLE_WEIGHT = 2
INTERRUPTED_WEIGHT = 1
FAILED_WEIGHT = 0.7
NOT_RUN_WEIGHT = 0.3
REFUSED_WEIGHT = 0.7
"""Weight of a refusal by a server with a free slot, which other hosts are told
of at once: a server that refuses everybody looks idle."""

_WEIGHTS: Mapping[ResponseVerdict, float] = MappingProxyType(
    {
        ResponseVerdict.SERVED: 0,
        ResponseVerdict.MISDIRECTED: 0,
        ResponseVerdict.NOT_RUN: NOT_RUN_WEIGHT,
    }
)


def make_attempt_observers(parts: HostParts) -> tuple[ObserveAttempt, ...]:
    """Return the functions that are called after each attempt.

    Args:
        parts: The state of the host.
    """
    updates = [
        partial(update, parts)
        for update in (
            _update_server,
            record_move_attempt,
            update_suspects_from_attempt,
        )
    ]
    reports = (partial(log_attempt, parts), parts.metrics.count_attempt)
    return (*updates, *reports, partial(_offer_freed_server, parts))


def _update_server(
    parts: HostParts, request: Request, route: Route, attempt: Attempt
) -> None:
    server = attempt.candidate.probe_result.server
    now = parts.timers.now()
    response = attempt.response
    server.record_failure(now, get_failure_weight(attempt))
    if response is None:
        return
    if server.update_from_notice(response.notice, now):
        log_notice(parts, server, response.notice)
    if response.verdict is ResponseVerdict.SERVED:
        if attempt.candidate.has_free_slot:
            slowdown = attempt.candidate.slowdown
            parts.processing_times.record(route, attempt.duration, slowdown)
    elif response.verdict is ResponseVerdict.MISDIRECTED:
        server.leaving = True


def _offer_freed_server(
    parts: HostParts, request: Request, route: Route, attempt: Attempt
) -> None:
    """Offer the server, which has a free slot now, to a waiting request."""
    response = attempt.response
    if response is None or response.load is None or not attempt.is_served():
        return
    # The load in a response still includes the request that it answers.
    report = HealthReport(
        healthy=True,
        server_id=None,
        cold_left=None,
        load=response.load.with_one_completed(),
    )
    server = attempt.candidate.probe_result.server
    if server.is_usable(parts.timers.now()):
        parts.wait_queues.offer_server(
            ProbeResult(server, report, parts.timers.now())
        )


def get_failure_weight(attempt: Attempt) -> float:
    """Return the weight of an attempt among the failures of its server.

    Args:
        attempt: The attempt, after its end.
    """
    if attempt.response is not None:
        is_refused = attempt.response.verdict is ResponseVerdict.NOT_RUN
        if is_refused and attempt.candidate.has_free_slot:
            return REFUSED_WEIGHT
        return _WEIGHTS.get(attempt.response.verdict, FAILED_WEIGHT)
    if attempt.failure is ExchangeFailure.UNREACHABLE:
        return UNREACHABLE_WEIGHT
    if attempt.failure is not None or attempt.is_overdue():
        return INTERRUPTED_WEIGHT
    return 0
