"""Search for a server with capacity for one request."""

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
"""Number of servers in the host's zone that are probed first."""

MOST_NEAR_ASKED = 11
"""Total number probed in the host's zone if none was idle and healthy."""

FAR_ASKED = 6
"""Number of servers probed in other zones if no local one is on time."""

FAR_ASKED_AGAIN = 2
"""Number probed in other zones at each repeated search of a queued request."""

SAFE_SHARE = 0.75
"""Largest share of the time to the objective that a response of a local server
may take. Other zones are probed only beyond it, as traffic between zones is
expensive."""

HOLD_SHARE = 0.9
"""Share of its objective within which a queued request must be started and
completed to stay queued."""

MIN_HOLD_SHARE = 0.125
HOLD_TIME_SHARE = 0.3
"""Largest share of the time to its deadline that a request is queued. The
retry of a caller has little time left, and may be answered late."""

ASK_AGAIN_AFTER = Seconds(0.04)
"""Interval at which the first request of a queue probes servers."""

FindRoom = Callable[[Wanted], Awaitable[Offer | NoRoom]]
"""Selects a server for a request, or returns when to retry."""

ListServers = Callable[[ServiceName, float], Sequence[KnownServer]]
"""Lists the servers of a service that may now receive a request, given the
random number that selects its version."""


@attrs.frozen(kw_only=True)
class Finder:
    """Dependencies and state of the search for a server.

    Attributes:
        list_servers: Lists the servers that may receive a request.
        ask: Probes one server for its load.
        work_times: Usual processing time of each route.
        lines: Requests that wait for capacity.
        zone: Availability zone of this host.
        timers: Source of the current time.
        random: Random number generator.
        background: Nursery in which probes run.
    """

    list_servers: ListServers
    ask: Ask
    work_times: WorkTimes
    lines: WaitingLines
    zone: ZoneName
    timers: Timers
    random: Random
    background: trio.Nursery


def make_find_room(context: Finder) -> FindRoom:
    """Return a function that finds a server with capacity.

    Bursts, and a server's pace that can change while it processes a request,
    make older load figures unreliable. A few servers are therefore probed just
    before the request is sent, those in the host's zone first. If none has
    capacity, the request waits for a freed server, the most urgent request
    first, for as long as it can still be on time.

    Args:
        context: Dependencies and state of the search.
    """

    async def find_room(request: Wanted) -> Offer | NoRoom:
        found: Offer | NoRoom = NoRoom(
            after=ASK_AGAIN_AFTER, asked=0, why='others_wait'
        )
        if context.lines.is_empty(request.service):
            found = await _probe_and_select(context, request)
        if isinstance(found, NoRoom):
            return await _wait_in_queue(context, request, found)
        return found

    return find_room


async def _wait_in_queue(
    context: Finder, request: Wanted, found: Offer | NoRoom
) -> Offer | NoRoom:
    processing_time = context.work_times.get(request.route)
    hopeless = request.is_late_by(context.timers.now(), processing_time)
    hold_deadline = _get_hold_deadline(request, processing_time)
    with context.lines.join(request, hopeless=hopeless) as waiter:
        while (
            isinstance(found, NoRoom) and context.timers.now() < hold_deadline
        ):
            freed = await _wait_for_freed(waiter, hold_deadline, context)
            if freed is not None:
                found = _select_freed(context, waiter, freed)
            elif context.lines.take_turn(
                waiter, context.timers.now(), period=ASK_AGAIN_AFTER
            ):
                found = await _probe_and_select(context, request, repeated=True)
    if isinstance(found, NoRoom):
        return await _select_late(context, request)
    return found


def _select_freed(
    context: Finder, waiter: Place, freed: Sighting
) -> Offer | NoRoom:
    """Select a freed server, or offer it to the requests queued behind."""
    request = waiter.wanted
    allowed = context.list_servers(request.service, request.draw)
    # Since it was sent its last request, its zone may have been taken out of
    # service or its version rolled back.
    usable = [freed] if freed.server in allowed else []
    found = _select(context, request, usable)
    if isinstance(found, NoRoom):
        context.lines.offer(freed, behind=waiter)
    return found


def _get_hold_deadline(request: Wanted, processing_time: Seconds) -> Monotonic:
    """Return until when a request is queued: while it can be on time."""
    objective = request.route.objective
    arrived = request.arrived
    on_time = request.get_aim() - (1 - HOLD_SHARE) * objective - processing_time
    hold_deadline = max(on_time, arrived + MIN_HOLD_SHARE * objective)
    longest = arrived + HOLD_TIME_SHARE * (request.until - arrived)
    return Monotonic(min(hold_deadline, longest))


async def _select_late(context: Finder, request: Wanted) -> Offer | NoRoom:
    """Search for a request that will be late; others have precedence."""
    spare = context.lines.is_hopeful(request.service)
    return await _probe_and_select(context, request, late=True, spare=spare)


async def _wait_for_freed(
    waiter: Place, deadline: Monotonic, context: Finder
) -> Sighting | None:
    next_probe = context.timers.now() + ASK_AGAIN_AFTER
    with trio.move_on_at(min(next_probe, deadline)):
        return await waiter.wait()
    return None


async def _probe_and_select(
    context: Finder,
    request: Wanted,
    *,
    repeated: bool = False,
    late: bool = False,
    spare: bool = False,
) -> Offer | NoRoom:
    """Probe the host's zone; then other zones if no server is on time."""
    local, remote = _list_usable_servers(context, request)
    results: list[Sighting] = []
    for batch in (local[:FIRST_ASKED], local[FIRST_ASKED:MOST_NEAR_ASKED]):
        results += await _probe(context, batch)
        if any(map(is_good, results)):
            # If the first server to respond is idle, capacity is plentiful.
            is_plentiful = len(results) == 1
            allowed = late or is_plentiful
            return _select(context, request, results, late=allowed, spare=spare)
    found = _select(context, request, results)
    if isinstance(found, Offer) and _is_safely_on_time(context, request, found):
        return found
    remote_count = FAR_ASKED_AGAIN if repeated else FAR_ASKED
    results += await _probe(context, remote[:remote_count])
    return _select(context, request, results, late=late, spare=spare)


def _list_usable_servers(
    context: Finder, request: Wanted
) -> tuple[list[KnownServer], list[KnownServer]]:
    """List usable servers in random order: in the host's zone, in others."""
    now = context.timers.now()
    local: list[KnownServer] = []
    remote: list[KnownServer] = []
    for server in context.list_servers(request.service, request.draw):
        if server.entry.id in request.without or not server.is_usable(now):
            continue
        (local if server.entry.zone == context.zone else remote).append(server)
    context.random.shuffle(local)
    context.random.shuffle(remote)
    return local, remote


def _is_safely_on_time(context: Finder, request: Wanted, offer: Offer) -> bool:
    time_left = request.get_aim() - context.timers.now()
    return offer.expected <= time_left * SAFE_SHARE


async def _probe(
    context: Finder, servers: Iterable[KnownServer]
) -> list[Sighting]:
    return await survey_servers(
        servers,
        ask=context.ask,
        is_enough=is_good,
        background=context.background,
    )


def _select(
    context: Finder,
    request: Wanted,
    results: Sequence[Sighting],
    *,
    late: bool = False,
    spare: bool = False,
) -> Offer | NoRoom:
    criteria = Setting(
        work=context.work_times.get(request.route),
        zone=context.zone,
        now=context.timers.now(),
        late=late,
        spare=spare,
    )
    return choose_offer(request, results, criteria)
