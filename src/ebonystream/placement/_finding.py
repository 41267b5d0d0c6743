"""Finding a server with room for one request."""

from collections.abc import Awaitable, Callable, Iterable, Sequence
from random import Random

import attrs
import trio

from ebonystream._ids import Monotonic, Seconds, ServiceName, ZoneName
from ebonystream._timers import Timers
from ebonystream.placement._asking import Ask
from ebonystream.placement._choice import Setting, choose_offer, is_good
from ebonystream.placement._estimate import WorkTimes
from ebonystream.placement._line import Place, WaitingLines
from ebonystream.placement._offer import NoRoom, Offer, Sighting
from ebonystream.placement._survey import survey_servers
from ebonystream.placement._wanted import Wanted
from ebonystream.roster import KnownServer

FIRST_ASKED = 5
"""Servers of the own zone that are asked at first."""

MOST_NEAR_ASKED = 11
"""Servers of the own zone that are asked in all, where none was good."""

FAR_ASKED = 6
"""Servers of other zones that are asked where no near one is on time."""

FAR_ASKED_AGAIN = 2
"""Those asked each time that a request in line looks again."""

SAFE_SHARE = 0.75
"""The share of the time left that a near server's answer may take, so that no
far one is asked: bytes between zones are dear."""

HOLD_SHARE = 0.9
"""The share of its objective within which a waiting request must be begun and
done to be held on."""

MIN_HOLD_SHARE = 0.125
HOLD_TIME_SHARE = 0.3
"""The share of its time that a request is held at most: a caller that came back
has little left, and may be answered late."""

ASK_AGAIN_AFTER = Seconds(0.04)
"""How often the first of a waiting line has servers asked."""

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
        lines: The requests that wait for room.
        zone: The zone of this host.
        timers: Tells the time.
        random: The source of chance.
        background: Where questions run.
    """

    list_servers: ListServers
    ask: Ask
    work_times: WorkTimes
    lines: WaitingLines
    zone: ZoneName
    timers: Timers
    random: Random
    background: trio.Nursery


def make_find_room(finder: Finder) -> FindRoom:
    """Make the function that finds a server with room.

    It answers bursts and servers whose pace changes within a request: a few
    servers are asked just before the send, those of the own zone first. Where
    none has room a request waits for one that comes free, the most urgent
    first, for as long as it can still be on time.

    Args:
        finder: What it takes.
    """

    async def find_room(wanted: Wanted) -> Offer | NoRoom:
        found: Offer | NoRoom = NoRoom(
            after=ASK_AGAIN_AFTER, asked=0, why='others_wait'
        )
        if finder.lines.is_empty(wanted.service):
            found = await _look_once(finder, wanted)
        if isinstance(found, NoRoom):
            return await _wait_in_line(finder, wanted, found)
        return found

    return find_room


async def _wait_in_line(
    finder: Finder, wanted: Wanted, found: Offer | NoRoom
) -> Offer | NoRoom:
    work = finder.work_times.get(wanted.route)
    hopeless = wanted.is_late_by(finder.timers.now(), work)
    hold_until = _find_hold(wanted, work)
    with finder.lines.join(wanted, hopeless=hopeless) as place:
        while isinstance(found, NoRoom) and finder.timers.now() < hold_until:
            freed = await _wait_for_freed(place, hold_until, finder)
            if freed is not None:
                found = _take_or_pass_on(finder, place, freed)
            elif finder.lines.take_turn(
                place, finder.timers.now(), period=ASK_AGAIN_AFTER
            ):
                found = await _look_once(finder, wanted, again=True)
    if isinstance(found, NoRoom):
        return await _look_late(finder, wanted)
    return found


def _take_or_pass_on(
    finder: Finder, place: Place, freed: Sighting
) -> Offer | NoRoom:
    """Take a free server, or leave it to those behind in the line."""
    wanted = place.wanted
    allowed = finder.list_servers(wanted.service, wanted.draw)
    # Its zone may be out, or its version taken back, since it was sent to.
    usable = [freed] if freed.server in allowed else []
    found = _choose(finder, wanted, usable)
    if isinstance(found, NoRoom):
        finder.lines.offer(freed, behind=place)
    return found


def _find_hold(wanted: Wanted, work: Seconds) -> Monotonic:
    """Find until when a request is held: while it can still be on time."""
    objective = wanted.route.objective
    came = wanted.arrived
    in_time = wanted.get_aim() - (1 - HOLD_SHARE) * objective - work
    hold_until = max(in_time, came + MIN_HOLD_SHARE * objective)
    longest = came + HOLD_TIME_SHARE * (wanted.until - came)
    return Monotonic(min(hold_until, longest))


async def _look_late(finder: Finder, wanted: Wanted) -> Offer | NoRoom:
    """Look for a request that will be late: others go first."""
    spare = finder.lines.is_hopeful(wanted.service)
    return await _look_once(finder, wanted, late=True, spare=spare)


async def _wait_for_freed(
    place: Place, until: Monotonic, finder: Finder
) -> Sighting | None:
    ask_again = finder.timers.now() + ASK_AGAIN_AFTER
    with trio.move_on_at(min(ask_again, until)):
        return await place.wait()
    return None


async def _look_once(
    finder: Finder,
    wanted: Wanted,
    *,
    again: bool = False,
    late: bool = False,
    spare: bool = False,
) -> Offer | NoRoom:
    """Ask servers of the own zone; those of others where none is on time."""
    near, far = _list_usable(finder, wanted)
    sightings: list[Sighting] = []
    for asked in (near[:FIRST_ASKED], near[FIRST_ASKED:MOST_NEAR_ASKED]):
        sightings += await _survey(finder, asked)
        if any(map(is_good, sightings)):
            # Where the first to answer is idle, there is no shortage.
            plenty = len(sightings) == 1
            allowed = late or plenty
            return _choose(finder, wanted, sightings, late=allowed, spare=spare)
    found = _choose(finder, wanted, sightings)
    if isinstance(found, Offer) and _is_safely_on_time(finder, wanted, found):
        return found
    most_far = FAR_ASKED_AGAIN if again else FAR_ASKED
    sightings += await _survey(finder, far[:most_far])
    return _choose(finder, wanted, sightings, late=late, spare=spare)


def _list_usable(
    finder: Finder, wanted: Wanted
) -> tuple[list[KnownServer], list[KnownServer]]:
    """List the servers that may be asked: of the own zone, and of others."""
    now = finder.timers.now()
    near: list[KnownServer] = []
    far: list[KnownServer] = []
    for server in finder.list_servers(wanted.service, wanted.draw):
        if server.entry.id in wanted.without or not server.is_usable(now):
            continue
        (near if server.entry.zone == finder.zone else far).append(server)
    finder.random.shuffle(near)
    finder.random.shuffle(far)
    return near, far


def _is_safely_on_time(finder: Finder, wanted: Wanted, offer: Offer) -> bool:
    left = wanted.get_aim() - finder.timers.now()
    return offer.expected <= left * SAFE_SHARE


async def _survey(
    finder: Finder, servers: Iterable[KnownServer]
) -> list[Sighting]:
    return await survey_servers(
        servers,
        ask=finder.ask,
        is_enough=is_good,
        background=finder.background,
    )


def _choose(
    finder: Finder,
    wanted: Wanted,
    sightings: Sequence[Sighting],
    *,
    late: bool = False,
    spare: bool = False,
) -> Offer | NoRoom:
    setting = Setting(
        work=finder.work_times.get(wanted.route),
        zone=finder.zone,
        now=finder.timers.now(),
        late=late,
        spare=spare,
    )
    return choose_offer(wanted, sightings, setting)
