"""Finding a server with room for one request."""

from collections.abc import Awaitable, Callable, Iterable, Sequence
from random import Random

import attrs
import trio

from ebonystream._ids import Monotonic, Seconds, ServiceName, ZoneName
from ebonystream._timers import Timers
from ebonystream.placement._estimate import ProcessingTimes
from ebonystream.placement._probe import Probe
from ebonystream.placement._probe_batch import probe_servers
from ebonystream.placement._request import PlacementRequest
from ebonystream.placement._results import Candidate, NoCapacity, ProbeResult
from ebonystream.placement._selection import (
    SelectionCriteria,
    is_ideal,
    select_server,
)
from ebonystream.placement._wait_queue import Waiter, WaitQueues
from ebonystream.roster import KnownServer

INITIAL_PROBES = 5
"""Servers of the own zone that are asked at first."""

MAX_LOCAL_PROBES = 11
"""Servers of the own zone that are asked in all, where none was good."""

REMOTE_PROBES = 6
"""Servers of other zones that are asked where no near one is on time."""

REPEATED_REMOTE_PROBES = 2
"""Those asked each time that a request in line looks again."""

MAX_LOCAL_SHARE = 0.75
"""The share of the time left that a near server's answer may take, so that no
far one is asked: bytes between zones are dear."""

QUEUE_OBJECTIVE_SHARE = 0.9
"""The share of its objective within which a waiting request must be begun and
done to be held on."""

MIN_QUEUE_OBJECTIVE_SHARE = 0.125
MAX_QUEUE_TIME_SHARE = 0.3
"""The share of its time that a request is held at most: a caller that came back
has little left, and may be answered late."""

PROBE_INTERVAL = Seconds(0.04)
"""How often the first of a waiting line has servers asked."""

FindServer = Callable[[PlacementRequest], Awaitable[Candidate | NoCapacity]]
"""Finds a server with room for a request, or tells when to come back."""

ListServers = Callable[[ServiceName, float], Sequence[KnownServer]]
"""Lists the servers of a service that may get the work of a draw now."""


@attrs.frozen(kw_only=True)
class SearchContext:
    """What finding a server with room takes.

    Attributes:
        list_servers: Lists the servers that may get work.
        probe: Asks one for its load.
        processing_times: The usual work of each route.
        queues: The requests that wait for room.
        zone: The zone of this host.
        timers: Tells the time.
        random: The source of chance.
        background: Where questions run.
    """

    list_servers: ListServers
    probe: Probe
    processing_times: ProcessingTimes
    queues: WaitQueues
    zone: ZoneName
    timers: Timers
    random: Random
    background: trio.Nursery


def make_find_server(finder: SearchContext) -> FindServer:
    """Make the function that finds a server with room.

    It answers bursts and servers whose pace changes within a request: a few
    servers are asked just before the send, those of the own zone first. Where
    none has room a request waits for one that comes free, the most urgent
    first, for as long as it can still be on time.

    Args:
        finder: What it takes.
    """

    async def find_room(wanted: PlacementRequest) -> Candidate | NoCapacity:
        found: Candidate | NoCapacity = NoCapacity(
            retry_after=PROBE_INTERVAL, probe_count=0, reason='others_wait'
        )
        if finder.queues.is_empty(wanted.service):
            found = await _look_once(finder, wanted)
        if isinstance(found, NoCapacity):
            return await _wait_in_line(finder, wanted, found)
        return found

    return find_room


async def _wait_in_line(
    finder: SearchContext,
    wanted: PlacementRequest,
    found: Candidate | NoCapacity,
) -> Candidate | NoCapacity:
    work = finder.processing_times.get(wanted.route)
    hopeless = wanted.is_late_if_started_at(finder.timers.now(), work)
    hold_until = _find_hold(wanted, work)
    with finder.queues.join(wanted, expected_late=hopeless) as place:
        while (
            isinstance(found, NoCapacity) and finder.timers.now() < hold_until
        ):
            freed = await _wait_for_freed(place, hold_until, finder)
            if freed is not None:
                found = _take_or_pass_on(finder, place, freed)
            elif finder.queues.claim_probe_turn(
                place, finder.timers.now(), period=PROBE_INTERVAL
            ):
                found = await _look_once(finder, wanted, again=True)
    if isinstance(found, NoCapacity):
        return await _look_late(finder, wanted)
    return found


def _take_or_pass_on(
    finder: SearchContext, place: Waiter, freed: ProbeResult
) -> Candidate | NoCapacity:
    """Take a free server, or leave it to those behind in the line."""
    wanted = place.request
    allowed = finder.list_servers(wanted.service, wanted.version_draw)
    # Its zone may be out, or its version taken back, since it was sent to.
    usable = [freed] if freed.server in allowed else []
    found = _choose(finder, wanted, usable)
    if isinstance(found, NoCapacity):
        finder.queues.offer_server(freed, behind=place)
    return found


def _find_hold(wanted: PlacementRequest, work: Seconds) -> Monotonic:
    """Find until when a request is held: while it can still be on time."""
    objective = wanted.route.objective
    came = wanted.arrived_at
    in_time = (
        wanted.get_target_time()
        - (1 - QUEUE_OBJECTIVE_SHARE) * objective
        - work
    )
    hold_until = max(in_time, came + MIN_QUEUE_OBJECTIVE_SHARE * objective)
    longest = came + MAX_QUEUE_TIME_SHARE * (wanted.deadline - came)
    return Monotonic(min(hold_until, longest))


async def _look_late(
    finder: SearchContext, wanted: PlacementRequest
) -> Candidate | NoCapacity:
    """Look for a request that will be late: others go first."""
    spare = finder.queues.has_request_on_time(wanted.service)
    return await _look_once(finder, wanted, late=True, spare=spare)


async def _wait_for_freed(
    place: Waiter, until: Monotonic, finder: SearchContext
) -> ProbeResult | None:
    ask_again = finder.timers.now() + PROBE_INTERVAL
    with trio.move_on_at(min(ask_again, until)):
        return await place.wait()
    return None


async def _look_once(
    finder: SearchContext,
    wanted: PlacementRequest,
    *,
    again: bool = False,
    late: bool = False,
    spare: bool = False,
) -> Candidate | NoCapacity:
    """Ask servers of the own zone; those of others where none is on time."""
    near, far = _list_usable(finder, wanted)
    sightings: list[ProbeResult] = []
    for asked in (near[:INITIAL_PROBES], near[INITIAL_PROBES:MAX_LOCAL_PROBES]):
        sightings += await _survey(finder, asked)
        if any(map(is_ideal, sightings)):
            # Where the first to answer is idle, there is no shortage.
            plenty = len(sightings) == 1
            allowed = late or plenty
            return _choose(finder, wanted, sightings, late=allowed, spare=spare)
    found = _choose(finder, wanted, sightings)
    if isinstance(found, Candidate) and _is_safely_on_time(
        finder, wanted, found
    ):
        return found
    most_far = REPEATED_REMOTE_PROBES if again else REMOTE_PROBES
    sightings += await _survey(finder, far[:most_far])
    return _choose(finder, wanted, sightings, late=late, spare=spare)


def _list_usable(
    finder: SearchContext, wanted: PlacementRequest
) -> tuple[list[KnownServer], list[KnownServer]]:
    """List the servers that may be asked: of the own zone, and of others."""
    now = finder.timers.now()
    near: list[KnownServer] = []
    far: list[KnownServer] = []
    for server in finder.list_servers(wanted.service, wanted.version_draw):
        if server.entry.id in wanted.excluded_servers or not server.is_usable(
            now
        ):
            continue
        (near if server.entry.zone == finder.zone else far).append(server)
    finder.random.shuffle(near)
    finder.random.shuffle(far)
    return near, far


def _is_safely_on_time(
    finder: SearchContext, wanted: PlacementRequest, offer: Candidate
) -> bool:
    left = wanted.get_target_time() - finder.timers.now()
    return offer.expected_latency <= left * MAX_LOCAL_SHARE


async def _survey(
    finder: SearchContext, servers: Iterable[KnownServer]
) -> list[ProbeResult]:
    return await probe_servers(
        servers,
        probe=finder.probe,
        is_sufficient=is_ideal,
        background=finder.background,
    )


def _choose(
    finder: SearchContext,
    wanted: PlacementRequest,
    sightings: Sequence[ProbeResult],
    *,
    late: bool = False,
    spare: bool = False,
) -> Candidate | NoCapacity:
    setting = SelectionCriteria(
        processing_time=finder.processing_times.get(wanted.route),
        zone=finder.zone,
        now=finder.timers.now(),
        allow_late=late,
        spare_only=spare,
    )
    return select_server(wanted, sightings, setting)
