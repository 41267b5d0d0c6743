"""Search for a server with capacity for one request."""

from collections.abc import Awaitable, Callable, Sequence
from random import Random

import attrs
import trio

from ebonystream._ids import Monotonic, Seconds, ServiceName, ZoneName
from ebonystream._timers import Timers
from ebonystream.placement._estimate import ProcessingTimes
from ebonystream.placement._probe import Probe
from ebonystream.placement._probe_batch import probe_servers
from ebonystream.placement._probe_budget import (
    ProbeBudget,
    make_unlimited_budget,
)
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
"""Number of servers in the host's zone that are probed first."""

MAX_LOCAL_PROBES = 11
"""Total number probed in the host's zone if none was idle and healthy."""

REMOTE_PROBES = 6
"""Number of servers probed in other zones if no local one is on time."""

REPEATED_REMOTE_PROBES = 2
"""Number of servers probed in other zones at each repeated search."""

MAX_LOCAL_SHARE = 0.75
"""Largest share of the time to the objective that a response of a local server
may take. Other zones are probed only beyond it, as traffic between zones is
expensive."""

QUEUE_OBJECTIVE_SHARE = 0.9
"""A request stays queued while it can still be started and completed within
this share of its objective."""

MIN_QUEUE_OBJECTIVE_SHARE = 0.125
"""Share of its objective for which even a request that will be late is
queued."""

MAX_QUEUE_TIME_SHARE = 0.3
"""Largest share of the time from its arrival to its deadline for which a
request is queued. The retry of a caller has little time left, and may be
answered late."""

PROBE_INTERVAL = Seconds(0.04)
"""Interval at which the first request of a queue probes servers."""

FindServer = Callable[[PlacementRequest], Awaitable[Candidate | NoCapacity]]
"""Selects a server for a request, or returns when to retry."""

ListServers = Callable[[ServiceName, float], Sequence[KnownServer]]
"""Lists the servers of a service that may now receive a request, given the
random number that selects its version."""


@attrs.frozen(kw_only=True)
class SearchContext:
    """Dependencies and state of the search for a server.

    Attributes:
        list_servers: Lists the servers that may receive a request.
        probe: Probes one server for its load.
        processing_times: Usual processing time of each route.
        queues: Requests that wait for capacity.
        zone: Availability zone of this host.
        timers: Source of the current time.
        random: Random number generator.
        background: Nursery in which probes run.
        budget: This host's share of the probes of all hosts.
    """

    list_servers: ListServers
    probe: Probe
    processing_times: ProcessingTimes
    queues: WaitQueues
    zone: ZoneName
    timers: Timers
    random: Random
    background: trio.Nursery
    budget: ProbeBudget = attrs.field(factory=make_unlimited_budget)


def make_find_server(context: SearchContext) -> FindServer:
    """Return a function that finds a server with capacity.

    Bursts, and a server's pace that can change while it processes a request,
    make older load figures unreliable. A few servers are therefore probed just
    before the request is sent, those in the host's zone first. If none has
    capacity, the request waits for a freed server, the most urgent request
    first, for as long as it can still be on time.

    Args:
        context: Dependencies and state of the search.
    """

    async def find_server(request: PlacementRequest) -> Candidate | NoCapacity:
        result: Candidate | NoCapacity = NoCapacity(
            retry_after=PROBE_INTERVAL, probe_count=0, reason='others_wait'
        )
        if context.queues.is_empty(request.service):
            result = await _probe_and_select(context, request)
        if isinstance(result, NoCapacity):
            return await _wait_in_queue(context, request, result)
        return result

    return find_server


async def _wait_in_queue(
    context: SearchContext,
    request: PlacementRequest,
    result: Candidate | NoCapacity,
) -> Candidate | NoCapacity:
    processing_time = context.processing_times.get(request.route)
    expected_late = request.is_late_if_started_at(
        context.timers.now(), processing_time
    )
    queue_deadline = _get_queue_deadline(request, processing_time)
    with context.queues.join(request, expected_late=expected_late) as waiter:
        while (
            isinstance(result, NoCapacity)
            and context.timers.now() < queue_deadline
        ):
            freed = await _wait_for_freed(waiter, queue_deadline, context)
            if freed is not None:
                result = _select_freed(context, waiter, freed)
            elif context.queues.claim_probe_turn(
                waiter, context.timers.now(), period=PROBE_INTERVAL
            ):
                result = await _probe_and_select(
                    context, request, repeated=True
                )
    if isinstance(result, NoCapacity):
        return await _select_late(context, request)
    return result


def _select_freed(
    context: SearchContext, waiter: Waiter, freed: ProbeResult
) -> Candidate | NoCapacity:
    """Select a freed server, or offer it to the requests queued behind."""
    request = waiter.request
    allowed = context.list_servers(request.service, request.version_draw)
    # The server's zone may have been taken out of service, or its version
    # rolled back, since this host sent its last request to the server.
    is_usable = freed.server.is_usable(context.timers.now())
    usable = [freed] if is_usable and freed.server in allowed else []
    result = _select(context, request, usable)
    if isinstance(result, NoCapacity):
        context.queues.offer_server(freed, behind=waiter)
    return result


def _get_queue_deadline(
    request: PlacementRequest, processing_time: Seconds
) -> Monotonic:
    """Return until when a request is queued.

    It is queued while it can be on time, but at least for
    `MIN_QUEUE_OBJECTIVE_SHARE` and at most for `MAX_QUEUE_TIME_SHARE`.
    """
    objective = request.route.objective
    arrived_at = request.arrived_at
    latest_start = (
        request.get_target_time()
        - (1 - QUEUE_OBJECTIVE_SHARE) * objective
        - processing_time
    )
    queue_deadline = max(
        latest_start, arrived_at + MIN_QUEUE_OBJECTIVE_SHARE * objective
    )
    max_deadline = arrived_at + MAX_QUEUE_TIME_SHARE * (
        request.deadline - arrived_at
    )
    return Monotonic(min(queue_deadline, max_deadline))


async def _select_late(
    context: SearchContext, request: PlacementRequest
) -> Candidate | NoCapacity:
    """Select a server for a request that will be late.

    While requests that can still be on time are queued, only servers that are
    too slow for new requests are selected.
    """
    spare_only = context.queues.has_request_on_time(request.service)
    return await _probe_and_select(
        context, request, allow_late=True, spare_only=spare_only
    )


async def _wait_for_freed(
    waiter: Waiter, deadline: Monotonic, context: SearchContext
) -> ProbeResult | None:
    next_probe = context.timers.now() + PROBE_INTERVAL
    with trio.move_on_at(min(next_probe, deadline)):
        return await waiter.wait()
    return None


async def _probe_and_select(
    context: SearchContext,
    request: PlacementRequest,
    *,
    repeated: bool = False,
    allow_late: bool = False,
    spare_only: bool = False,
) -> Candidate | NoCapacity:
    """Probe the host's zone; then other zones if no server is on time."""
    local, remote = _list_usable_servers(context, request)
    results: list[ProbeResult] = []
    for batch in (
        local[:INITIAL_PROBES],
        local[INITIAL_PROBES:MAX_LOCAL_PROBES],
    ):
        results += await _probe(context, batch, repeated=repeated)
        if any(map(is_ideal, results)):
            # If the first server to respond is idle, capacity is plentiful.
            is_plentiful = len(results) == 1
            allowed = allow_late or is_plentiful
            return _select(
                context,
                request,
                results,
                allow_late=allowed,
                spare_only=spare_only,
            )
    result = _select(context, request, results)
    if isinstance(result, Candidate) and _is_safely_on_time(
        context, request, result
    ):
        return result
    remote_count = REPEATED_REMOTE_PROBES if repeated else REMOTE_PROBES
    results += await _probe(context, remote[:remote_count], repeated=repeated)
    return _select(
        context, request, results, allow_late=allow_late, spare_only=spare_only
    )


def _list_usable_servers(
    context: SearchContext, request: PlacementRequest
) -> tuple[list[KnownServer], list[KnownServer]]:
    """List usable servers in random order: in the host's zone, in others."""
    now = context.timers.now()
    local: list[KnownServer] = []
    remote: list[KnownServer] = []
    for server in context.list_servers(request.service, request.version_draw):
        if server.entry.id in request.excluded_servers or not server.is_usable(
            now
        ):
            continue
        (local if server.entry.zone == context.zone else remote).append(server)
    context.random.shuffle(local)
    context.random.shuffle(remote)
    return local, remote


def _is_safely_on_time(
    context: SearchContext, request: PlacementRequest, candidate: Candidate
) -> bool:
    time_left = request.get_target_time() - context.timers.now()
    return candidate.expected_latency <= time_left * MAX_LOCAL_SHARE


async def _probe(
    context: SearchContext, servers: Sequence[KnownServer], *, repeated: bool
) -> list[ProbeResult]:
    """Probe as many of the servers as the budget grants."""
    granted = context.budget.take(
        len(servers), context.timers.now(), reserve=repeated
    )
    return await probe_servers(
        servers[:granted],
        probe=context.probe,
        is_sufficient=is_ideal,
        background=context.background,
    )


def _select(
    context: SearchContext,
    request: PlacementRequest,
    results: Sequence[ProbeResult],
    *,
    allow_late: bool = False,
    spare_only: bool = False,
) -> Candidate | NoCapacity:
    criteria = SelectionCriteria(
        processing_time=context.processing_times.get(request.route),
        zone=context.zone,
        now=context.timers.now(),
        allow_late=allow_late,
        spare_only=spare_only,
    )
    return select_server(request, results, criteria)
