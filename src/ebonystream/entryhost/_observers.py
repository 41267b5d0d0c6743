"""Observers of attempts: state updates, log lines and metrics."""

from collections.abc import Mapping
from functools import partial
from types import MappingProxyType

from ebonystream._ids import Seconds
from ebonystream.dispatch import Attempt, ObserveAttempt
from ebonystream.entryhost._crashes import (
    update_suspects_from_attempt,
    update_suspects_from_probe,
)
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._request_log import (
    log_attempt,
    log_notice,
    update_silence,
)
from ebonystream.entryhost._usage_counts import count_attempt_usage
from ebonystream.entryhost._version_moves import record_move_attempt
from ebonystream.link import ExchangeFailure
from ebonystream.placement import ProbeResult
from ebonystream.request import Request, Response, ResponseVerdict
from ebonystream.roster import HealthReport
from ebonystream.route import Route

# Weights with which the results of attempts count as failures of the server.
UNREACHABLE_WEIGHT = 2
INTERRUPTED_WEIGHT = 1
FAILED_WEIGHT = 0.7
NOT_RUN_WEIGHT = 0.3

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
            count_attempt_usage,
        )
    ]
    reports = (partial(log_attempt, parts), parts.metrics.count_attempt)
    return (*updates, *reports, partial(_offer_freed_server, parts))


def observe_probe(parts: HostParts, result: ProbeResult) -> None:
    """Count a probe and update what is known of its server.

    Args:
        parts: The state of the host.
        result: Result of the probe.
    """
    parts.metrics.count_probe(result)
    update_silence(parts, result)
    update_suspects_from_probe(parts, result)


def count_response(
    parts: HostParts, request: Request, route: Route | None, response: Response
) -> None:
    """Count a response to a caller, with its latency.

    Args:
        parts: The state of the host.
        request: The request.
        route: The route of the request; None if it matched none.
        response: The response.
    """
    duration = Seconds(parts.timers.now() - request.arrived_at)
    parts.metrics.count_response(route, response, duration)


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
        return _WEIGHTS.get(attempt.response.verdict, FAILED_WEIGHT)
    if attempt.failure is ExchangeFailure.UNREACHABLE:
        return UNREACHABLE_WEIGHT
    if attempt.failure is ExchangeFailure.WITHHELD:
        return 0
    if attempt.failure is not None or attempt.is_overdue():
        return INTERRUPTED_WEIGHT
    return 0
