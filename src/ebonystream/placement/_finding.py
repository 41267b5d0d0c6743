"""Finding a server with room for one request."""

from collections.abc import Awaitable, Callable, Iterable, Sequence
from random import Random

import attrs
import trio

from ebonystream._ids import Monotonic, Seconds, ServerId, ServiceName, ZoneName
from ebonystream._timers import Timers
from ebonystream.placement._asking import Ask
from ebonystream.placement._estimate import (
    WorkTimes,
    estimate_wait,
    estimate_work,
    get_load,
)
from ebonystream.placement._offer import NoRoom, Offer, Sighting
from ebonystream.placement._survey import survey_servers
from ebonystream.roster import KnownServer
from ebonystream.route import Route

FIRST_ASKED = 5
"""Servers of the own zone that are asked at first."""

MORE_ASKED = 6
"""Servers anywhere that are asked where the first had no good answer."""

GOOD_PACE = 1.05
GOOD_FAILURES = 0.5
FAR_PENALTY = Seconds(0.004)
"""What a server of another zone costs more, in seconds of latency."""

HOLD_SHARE = 0.125
"""The share of its objective that a request waits for room."""

ASK_AGAIN_AFTER = Seconds(0.015)
LATE_SHARE = 0.85
"""The share of the time left that an expected answer may take."""

MIN_RETRY_AFTER = Seconds(0.05)


@attrs.frozen(kw_only=True)
class Wanted:
    """What a request needs.

    Attributes:
        route: Its route.
        service: The service that the route's weights gave it.
        arrived: When it came.
        until: When its answer is of no use any more.
        draw: Its draw between the versions of the service, from 0 to 1.
        without: Servers that have refused it or failed it.
    """

    route: Route
    service: ServiceName
    arrived: Monotonic
    until: Monotonic
    draw: float
    without: frozenset[ServerId] = frozenset()


FindRoom = Callable[[Wanted], Awaitable[Offer | NoRoom]]
"""Finds a server with room for a request, or tells when to come back."""

ListServers = Callable[[ServiceName, float], Sequence[KnownServer]]
"""Lists the servers of a service that may get the work of a draw now."""


@attrs.frozen(kw_only=True)
class Finder:
    """What finding a server with room takes.

    Attributes:
        list_servers: Lists the servers that may get work.
        ask: Asks one for its load.
        work_times: The usual work of each route.
        zone: The zone of this host.
        timers: Tells the time.
        random: The source of chance.
        background: Where questions run.
    """

    list_servers: ListServers
    ask: Ask
    work_times: WorkTimes
    zone: ZoneName
    timers: Timers
    random: Random
    background: trio.Nursery


def make_find_room(finder: Finder) -> FindRoom:
    """Make the function that finds a server with room.

    It answers bursts and servers whose pace changes within a request: a few
    servers are asked just before the send, those of the own zone first.

    Args:
        finder: What it takes.
    """
    timers = finder.timers

    async def find_room(wanted: Wanted) -> Offer | NoRoom:
        hold = Seconds(wanted.route.objective * HOLD_SHARE)
        hold_until = min(wanted.arrived + hold, wanted.until)
        found = await _look_once(finder, wanted)
        while isinstance(found, NoRoom) and timers.now() < hold_until:
            await timers.wait(ASK_AGAIN_AFTER)
            found = await _look_once(finder, wanted)
        return found

    return find_room


async def _look_once(finder: Finder, wanted: Wanted) -> Offer | NoRoom:
    now = finder.timers.now()
    usable = [
        server
        for server in finder.list_servers(wanted.service, wanted.draw)
        if server.entry.id not in wanted.without and server.is_usable(now)
    ]
    finder.random.shuffle(usable)
    usable.sort(key=lambda server: server.entry.zone != finder.zone)
    first, more = usable[:FIRST_ASKED], usable[FIRST_ASKED:]
    sightings = await _survey(finder, first)
    if not any(map(_is_good, sightings)):
        finder.random.shuffle(more)
        sightings += await _survey(finder, more[:MORE_ASKED])
    return _choose(finder, wanted, sightings)


async def _survey(
    finder: Finder, servers: Iterable[KnownServer]
) -> list[Sighting]:
    return await survey_servers(
        servers,
        ask=finder.ask,
        is_enough=_is_good,
        background=finder.background,
    )


def _is_good(sighting: Sighting) -> bool:
    """Tell whether a server would begin at once, at its usual pace."""
    if not _is_willing(sighting):
        return False
    load = get_load(sighting)
    idle = load.running + load.waiting + sighting.server.in_flight == 0
    calm = (
        load.pace <= GOOD_PACE
        and sighting.server.weigh_failures(sighting.at) < GOOD_FAILURES
    )
    return idle and calm and sighting.server.cold_until <= sighting.at


def _is_willing(sighting: Sighting) -> bool:
    """Tell whether a server takes work, by its own word."""
    report = sighting.report
    if report is None or not report.healthy or sighting.server.leaving:
        return False
    load = get_load(sighting)
    if sighting.server.cold_until > sighting.at:
        return load.running + load.waiting + sighting.server.in_flight == 0
    return True


def _choose(
    finder: Finder, wanted: Wanted, sightings: list[Sighting]
) -> Offer | NoRoom:
    work = finder.work_times.get(wanted.route)
    asked = len(sightings)
    offers = [
        Offer(
            sighting=one,
            expected=_expect(finder, one, work),
            asked=asked,
            free=get_load(one).has_free_slot(),
        )
        for one in sightings
        if _is_willing(one)
    ]
    if not offers:
        return NoRoom(after=MIN_RETRY_AFTER, asked=asked, why='none_willing')
    best = min(offers, key=lambda offer: offer.expected)
    left = wanted.until - finder.timers.now()
    if best.expected <= left * LATE_SHARE and _has_place(best):
        return best
    return NoRoom(after=best.expected, asked=asked, why='full')


def _has_place(offer: Offer) -> bool:
    load = get_load(offer.sighting)
    return load.running + load.waiting < load.slots + 1


def _expect(finder: Finder, sighting: Sighting, work: Seconds) -> Seconds:
    server = sighting.server
    cold = server.cold_until > sighting.at
    own = 1 if server.last_sent >= sighting.at else 0
    wait = estimate_wait(get_load(sighting), work, own=own)
    busy = estimate_work(sighting, work, own=own, cold=cold)
    far = FAR_PENALTY if server.entry.zone != finder.zone else 0
    return Seconds(wait + busy + far)
