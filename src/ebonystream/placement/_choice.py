"""Choosing among servers that were asked; no network is needed for it."""

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
"""What a server of another zone costs more, in seconds of latency."""

LATE_SHARE = 0.9
"""The share of the time left that an expected answer may take."""

MIN_RETRY_AFTER = Seconds(0.05)


@attrs.frozen(kw_only=True)
class Setting:
    """With what a choice is made.

    Attributes:
        work: The usual work of the request, in seconds.
        zone: The zone of this host.
        now: The time.
        late: Whether an answer that is not on time is better than none.
        spare: Whether only a server will do that no other request wants.
    """

    work: Seconds
    zone: ZoneName
    now: Monotonic
    late: bool = False
    spare: bool = False


def choose_offer(
    wanted: Wanted, sightings: Sequence[Sighting], setting: Setting
) -> Offer | NoRoom:
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
        make_offer(one, setting, asked) for one in sightings if is_willing(one)
    ]
    if not offers:
        return NoRoom(
            after=MIN_RETRY_AFTER,
            asked=asked,
            why='none_willing',
            seen=tuple(sightings),
        )
    free = [offer for offer in offers if offer.free]
    if setting.spare:
        free = [one for one in free if is_spare(one, wanted, setting)]
    best = min(free or offers, key=_get_expected)
    if free and _is_quick_enough(best, wanted, setting):
        return best
    return NoRoom(
        after=best.expected,
        asked=asked,
        why='too_slow' if free else 'full',
        seen=tuple(sightings),
    )


def is_spare(offer: Offer, wanted: Wanted, setting: Setting) -> bool:
    """Tell whether a server is too slow to answer a new request on time.

    Args:
        offer: The server.
        wanted: A request of the route that it is too slow for.
        setting: With what the choice is made.
    """
    return setting.work * offer.slowdown > wanted.route.objective


def is_good(sighting: Sighting) -> bool:
    """Tell whether a server would begin at once, at its usual pace.

    Args:
        sighting: What it said.
    """
    server = sighting.server
    if not is_willing(sighting) or server.cold_until > sighting.at:
        return False
    load = get_load(sighting)
    idle = load.running + load.waiting + server.in_flight == 0
    calm = load.pace <= GOOD_PACE
    return idle and calm and server.weigh_failures(sighting.at) < GOOD_FAILURES


def is_willing(sighting: Sighting) -> bool:
    """Tell whether a server takes work; a cold one takes one at a time.

    Args:
        sighting: What it said.
    """
    report = sighting.report
    server = sighting.server
    if report is None or not report.healthy or server.leaving:
        return False
    load = get_load(sighting)
    if server.cold_until > sighting.at:
        return load.running + load.waiting + server.in_flight == 0
    return True


def make_offer(sighting: Sighting, setting: Setting, asked: int) -> Offer:
    """Estimate when a server's answer would be there.

    Args:
        sighting: What it said.
        setting: With what the choice is made.
        asked: How many servers were asked.
    """
    server = sighting.server
    load = get_load(sighting)
    cold = server.cold_until > sighting.at
    own = 1 if server.last_sent >= sighting.at else 0
    slowdown = estimate_slowdown(sighting, own=own, cold=cold)
    wait = estimate_wait(load, setting.work, own=own)
    far = FAR_PENALTY if server.entry.zone != setting.zone else 0
    work = setting.work * slowdown * estimate_risk(sighting)
    return Offer(
        sighting=sighting,
        expected=Seconds(wait + work + far),
        slowdown=slowdown,
        asked=asked,
        free=load.has_free_slot(),
    )


def _get_expected(offer: Offer) -> Seconds:
    return offer.expected


def _is_quick_enough(best: Offer, wanted: Wanted, setting: Setting) -> bool:
    left = wanted.until - setting.now
    if best.expected > left * LATE_SHARE:
        return False
    on_time = wanted.get_aim() - setting.now
    return setting.late or best.expected <= on_time
