"""Selection among probed servers; performs no I/O."""

from collections.abc import Sequence

import attrs

from ebonystream._ids import Monotonic, Seconds, ZoneName
from ebonystream.placement._estimate import (
    estimate_risk,
    estimate_slowdown,
    estimate_wait,
    get_load,
)
from ebonystream.placement._offer import NoRoom, Offer, Sighting
from ebonystream.placement._wanted import Wanted

GOOD_PACE = 1.05
GOOD_FAILURES = 0.5
FAR_PENALTY = Seconds(0.004)
"""Latency added to the estimate of a server in another zone."""

LATE_SHARE = 0.9
"""Largest share of the time to the deadline that a response may take."""

MIN_RETRY_AFTER = Seconds(0.05)


@attrs.frozen(kw_only=True)
class Setting:
    """Criteria of one selection.

    Attributes:
        work: Usual processing time of the request, in seconds.
        zone: Availability zone of this host.
        now: The current time.
        late: Whether a server may be selected that misses the objective.
        spare: Whether to select only servers that are too slow for new
            requests, which leaves the others to requests still on time.
    """

    work: Seconds
    zone: ZoneName
    now: Monotonic
    late: bool = False
    spare: bool = False


def choose_offer(
    request: Wanted, results: Sequence[Sighting], criteria: Setting
) -> Offer | NoRoom:
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
    asked = len(results)
    offers = [
        make_offer(result, criteria, asked)
        for result in results
        if is_willing(result)
    ]
    if not offers:
        return NoRoom(
            after=MIN_RETRY_AFTER,
            asked=asked,
            why='none_willing',
            seen=tuple(results),
        )
    free = [offer for offer in offers if offer.free]
    if criteria.spare:
        free = [spare for spare in free if is_spare(spare, request, criteria)]
    best = min(free or offers, key=_get_latency)
    if free and _is_fast_enough(best, request, criteria):
        return best
    return NoRoom(
        after=best.expected,
        asked=asked,
        why='too_slow' if free else 'full',
        seen=tuple(results),
    )


def is_spare(offer: Offer, request: Wanted, criteria: Setting) -> bool:
    """Return whether a server is too slow to answer a new request on time.

    Args:
        offer: The server, with its estimated slowdown.
        request: Request whose route gives the objective.
        criteria: Criteria of the selection.
    """
    return criteria.work * offer.slowdown > request.route.objective


def is_good(result: Sighting) -> bool:
    """Return whether a server would start a request at once at usual pace.

    Args:
        result: Result of its probe.
    """
    server = result.server
    if not is_willing(result) or server.cold_until > result.at:
        return False
    load = get_load(result)
    idle = load.running + load.waiting + server.in_flight == 0
    usual_pace = load.pace <= GOOD_PACE
    return (
        idle and usual_pace and server.weigh_failures(result.at) < GOOD_FAILURES
    )


def is_willing(result: Sighting) -> bool:
    """Return whether a server accepts a request.

    A cold server accepts one request at a time.

    Args:
        result: Result of its probe.
    """
    report = result.report
    server = result.server
    if report is None or not report.healthy or server.leaving:
        return False
    load = get_load(result)
    if server.cold_until > result.at:
        return load.running + load.waiting + server.in_flight == 0
    return True


def make_offer(result: Sighting, criteria: Setting, asked: int) -> Offer:
    """Estimate the latency of a request at a server.

    Args:
        result: Result of its probe.
        criteria: Criteria of the selection.
        asked: Number of servers probed.
    """
    server = result.server
    load = get_load(result)
    is_cold = server.cold_until > result.at
    sent_since = 1 if server.last_sent >= result.at else 0
    slowdown = estimate_slowdown(result, own=sent_since, cold=is_cold)
    wait = estimate_wait(load, criteria.work, own=sent_since)
    zone_penalty = FAR_PENALTY if server.entry.zone != criteria.zone else 0
    processing = criteria.work * slowdown * estimate_risk(result)
    return Offer(
        sighting=result,
        expected=Seconds(wait + processing + zone_penalty),
        slowdown=slowdown,
        asked=asked,
        free=load.has_free_slot(),
    )


def _get_latency(offer: Offer) -> Seconds:
    return offer.expected


def _is_fast_enough(best: Offer, request: Wanted, criteria: Setting) -> bool:
    time_left = request.until - criteria.now
    if best.expected > time_left * LATE_SHARE:
        return False
    time_to_target = request.get_aim() - criteria.now
    return criteria.late or best.expected <= time_to_target
