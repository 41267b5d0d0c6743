"""Selection among probed servers; performs no I/O."""

from collections.abc import Sequence

import attrs

from ebonystream._ids import Monotonic, Seconds, ZoneName
from ebonystream.placement._estimate import (
    NEARLY_FULL_SHARE,
    estimate_failure_penalty,
    estimate_slowdown,
    estimate_wait,
    get_load,
)
from ebonystream.placement._request import PlacementRequest
from ebonystream.placement._results import Candidate, NoCapacity, ProbeResult

MAX_IDEAL_PACE = 1.05
MAX_IDEAL_FAILURES = 0.5
REMOTE_ZONE_PENALTY = Seconds(0.004)
"""Latency added to the estimate of a server in another zone."""

MAX_DEADLINE_SHARE = 0.9
"""Largest share of the time to the deadline that a response may take."""

MIN_RETRY_AFTER = Seconds(0.05)


@attrs.frozen(kw_only=True)
class SelectionCriteria:
    """Criteria of one selection.

    Attributes:
        processing_time: Usual processing time of the request, in seconds.
        zone: Availability zone of this host.
        now: The current time.
        allow_late: Whether a server may be selected that misses the objective.
        spare_only: Whether to select only servers that are too slow for new
            requests, which leaves the others to requests still on time.
    """

    processing_time: Seconds
    zone: ZoneName
    now: Monotonic
    allow_late: bool = False
    spare_only: bool = False


def select_server(
    request: PlacementRequest,
    results: Sequence[ProbeResult],
    criteria: SelectionCriteria,
) -> Candidate | NoCapacity:
    """Select the server with the lowest expected latency, if low enough.

    Under overload, a server processes a request to its end at the pace at
    which it started it. A request therefore waits on this host for a server
    at a good pace, rather than occupy a slot of a slow server or queue at a
    server that may be slow when it starts the request.

    Args:
        request: The request to place.
        results: Results of the probes.
        criteria: Criteria of the selection.
    """
    probe_count = len(results)
    candidates = [
        make_candidate(result, criteria, probe_count)
        for result in results
        if is_available(result)
    ]
    if not candidates:
        return NoCapacity(
            retry_after=MIN_RETRY_AFTER,
            probe_count=probe_count,
            reason='none_willing',
            probe_results=tuple(results),
        )
    free = [candidate for candidate in candidates if candidate.has_free_slot]
    if criteria.spare_only:
        free = [slow for slow in free if is_spare(slow, request, criteria)]
    best = min(free or candidates, key=_get_latency)
    if free and _is_fast_enough(best, request, criteria):
        return best
    return NoCapacity(
        retry_after=best.expected_latency,
        probe_count=probe_count,
        reason='too_slow' if free else 'full',
        probe_results=tuple(results),
    )


def is_spare(
    candidate: Candidate, request: PlacementRequest, criteria: SelectionCriteria
) -> bool:
    """Return whether a server is too slow to answer a new request on time.

    Args:
        candidate: The server, with its estimated slowdown.
        request: Request whose route gives the objective.
        criteria: Criteria of the selection.
    """
    return (
        criteria.processing_time * candidate.slowdown > request.route.objective
    )


def is_ideal(result: ProbeResult) -> bool:
    """Return whether a server would start a request at once at usual pace.

    It then is idle, or has slots enough that one more request does not slow it
    down.

    Args:
        result: Result of its probe.
    """
    server = result.server
    if not is_available(result) or server.cold_until > result.sent_at:
        return False
    load = get_load(result)
    busy = max(load.running, server.in_flight) + load.waiting
    has_room = busy == 0 or busy + 1 < NEARLY_FULL_SHARE * load.slots
    usual_pace = load.pace <= MAX_IDEAL_PACE
    return (
        has_room
        and usual_pace
        and server.get_all_failures(result.sent_at) < MAX_IDEAL_FAILURES
    )


def is_available(result: ProbeResult) -> bool:
    """Return whether a server accepts a request.

    A cold server accepts one request at a time.

    Args:
        result: Result of its probe.
    """
    report = result.report
    server = result.server
    if report is None or not report.healthy or server.leaving:
        return False
    if server.refusing_until > result.sent_at:
        return False
    load = get_load(result)
    if server.cold_until > result.sent_at:
        return load.running + load.waiting + server.in_flight == 0
    return True


def make_candidate(
    probe_result: ProbeResult, criteria: SelectionCriteria, probe_count: int
) -> Candidate:
    """Estimate the latency of a request at a server.

    Args:
        probe_result: Result of its probe.
        criteria: Criteria of the selection.
        probe_count: Number of servers probed.
    """
    server = probe_result.server
    load = get_load(probe_result)
    is_cold = server.cold_until > probe_result.sent_at
    sent_since = 1 if server.last_request_at >= probe_result.sent_at else 0
    slowdown = estimate_slowdown(
        probe_result, sent_since=sent_since, is_cold=is_cold
    )
    wait = estimate_wait(load, criteria.processing_time, sent_since=sent_since)
    zone_penalty = (
        REMOTE_ZONE_PENALTY if server.entry.zone != criteria.zone else 0
    )
    processing = (
        criteria.processing_time
        * slowdown
        * estimate_failure_penalty(probe_result)
    )
    return Candidate(
        probe_result=probe_result,
        expected_latency=Seconds(wait + processing + zone_penalty),
        slowdown=slowdown,
        probe_count=probe_count,
        has_free_slot=load.has_free_slot(),
    )


def _get_latency(candidate: Candidate) -> Seconds:
    return candidate.expected_latency


def _is_fast_enough(
    best: Candidate, request: PlacementRequest, criteria: SelectionCriteria
) -> bool:
    time_left = request.deadline - criteria.now
    if best.expected_latency > time_left * MAX_DEADLINE_SHARE:
        return False
    time_to_target = request.get_target_time() - criteria.now
    return criteria.allow_late or best.expected_latency <= time_to_target
