"""Choosing among servers that were asked; no network is needed for it."""

from collections.abc import Sequence

import attrs

from ebonystream._ids import Monotonic, Seconds, ZoneName
from ebonystream.placement._estimate import (
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
"""What a server of another zone costs more, in seconds of latency."""

MAX_DEADLINE_SHARE = 0.9
"""The share of the time left that an expected answer may take."""

MIN_RETRY_AFTER = Seconds(0.05)


@attrs.frozen(kw_only=True)
class SelectionCriteria:
    """With what a choice is made.

    Attributes:
        processing_time: The usual work of the request, in seconds.
        zone: The zone of this host.
        now: The time.
        allow_late: Whether an answer that is not on time is better than none.
        spare_only: Whether only a server will do that no other request wants.
    """

    processing_time: Seconds
    zone: ZoneName
    now: Monotonic
    allow_late: bool = False
    spare_only: bool = False


def select_server(
    wanted: PlacementRequest,
    sightings: Sequence[ProbeResult],
    setting: SelectionCriteria,
) -> Candidate | NoCapacity:
    """Choose the server that will answer first, if one is quick enough.

    It answers overload: a server keeps the pace at which it began a request,
    so a request rather waits at this host for a server at a good pace than
    holds the slot of a slow one, or waits at a server for one that may.

    Args:
        wanted: What the request needs.
        sightings: What servers said.
        setting: With what the choice is made.
    """
    asked = len(sightings)
    offers = [
        make_candidate(one, setting, asked)
        for one in sightings
        if is_available(one)
    ]
    if not offers:
        return NoCapacity(
            retry_after=MIN_RETRY_AFTER,
            probe_count=asked,
            reason='none_willing',
            probe_results=tuple(sightings),
        )
    free = [offer for offer in offers if offer.has_free_slot]
    if setting.spare_only:
        free = [one for one in free if is_spare(one, wanted, setting)]
    best = min(free or offers, key=_get_expected)
    if free and _is_quick_enough(best, wanted, setting):
        return best
    return NoCapacity(
        retry_after=best.expected_latency,
        probe_count=asked,
        reason='too_slow' if free else 'full',
        probe_results=tuple(sightings),
    )


def is_spare(
    candidate: Candidate, wanted: PlacementRequest, setting: SelectionCriteria
) -> bool:
    """Tell whether a server is too slow to answer a new request on time.

    Args:
        candidate: The server.
        wanted: A request of the route that it is too slow for.
        setting: With what the choice is made.
    """
    return setting.processing_time * candidate.slowdown > wanted.route.objective


def is_ideal(sighting: ProbeResult) -> bool:
    """Tell whether a server would begin at once, at its usual pace.

    Args:
        sighting: What it said.
    """
    server = sighting.server
    if not is_available(sighting) or server.cold_until > sighting.sent_at:
        return False
    load = get_load(sighting)
    idle = load.running + load.waiting + server.in_flight == 0
    calm = load.pace <= MAX_IDEAL_PACE
    return (
        idle
        and calm
        and server.get_all_failures(sighting.sent_at) < MAX_IDEAL_FAILURES
    )


def is_available(sighting: ProbeResult) -> bool:
    """Tell whether a server takes work; a cold one takes one at a time.

    Args:
        sighting: What it said.
    """
    report = sighting.report
    server = sighting.server
    if report is None or not report.healthy or server.leaving:
        return False
    load = get_load(sighting)
    if server.cold_until > sighting.sent_at:
        return load.running + load.waiting + server.in_flight == 0
    return True


def make_candidate(
    sighting: ProbeResult, setting: SelectionCriteria, probe_count: int
) -> Candidate:
    """Estimate when a server's answer would be there.

    Args:
        sighting: What it said.
        setting: With what the choice is made.
        probe_count: How many servers were asked.
    """
    server = sighting.server
    load = get_load(sighting)
    cold = server.cold_until > sighting.sent_at
    own = 1 if server.last_request_at >= sighting.sent_at else 0
    slowdown = estimate_slowdown(sighting, sent_since=own, is_cold=cold)
    wait = estimate_wait(load, setting.processing_time, sent_since=own)
    far = REMOTE_ZONE_PENALTY if server.entry.zone != setting.zone else 0
    work = (
        setting.processing_time * slowdown * estimate_failure_penalty(sighting)
    )
    return Candidate(
        probe_result=sighting,
        expected_latency=Seconds(wait + work + far),
        slowdown=slowdown,
        probe_count=probe_count,
        has_free_slot=load.has_free_slot(),
    )


def _get_expected(offer: Candidate) -> Seconds:
    return offer.expected_latency


def _is_quick_enough(
    best: Candidate, wanted: PlacementRequest, setting: SelectionCriteria
) -> bool:
    left = wanted.deadline - setting.now
    if best.expected_latency > left * MAX_DEADLINE_SHARE:
        return False
    on_time = wanted.get_target_time() - setting.now
    return setting.allow_late or best.expected_latency <= on_time
