"""Search for an idle server for a second attempt, without waiting."""

from collections.abc import Awaitable, Callable, Sequence

from ebonystream._ids import Monotonic, Seconds, ServiceName
from ebonystream.placement._context import SearchContext
from ebonystream.placement._probe_batch import probe_servers
from ebonystream.placement._probe_budget import ProbePurpose
from ebonystream.placement._probing import list_usable_servers
from ebonystream.placement._request import PlacementRequest
from ebonystream.placement._results import Candidate, ProbeResult
from ebonystream.placement._selection import (
    SelectionCriteria,
    is_ideal,
    make_candidate,
)

HEDGE_PROBES = 3
"""Number of servers that are probed; with capacity to spare one is idle."""

SHORTAGE_TIME = Seconds(3)
"""How long a service counts as short of capacity after a request has waited for
it, in seconds. A host sees about three requests a second."""

FindIdleServer = Callable[[PlacementRequest], Awaitable[Candidate | None]]
"""Finds a server that would start a request at once; None if there is none."""


def make_find_idle_server(context: SearchContext) -> FindIdleServer:
    """Return a function that finds a server for a second attempt.

    It finds none while requests wait for the service or have done so lately,
    nor any server that is cold, busy, slow or failing. Servers of other zones
    are probed only if the host's zone has none, as traffic between zones is
    expensive. The probes come from the part of the budget that first searches
    do not need.

    Args:
        context: Dependencies and state of the search.
    """

    async def find_idle_server(request: PlacementRequest) -> Candidate | None:
        now = context.timers.now()
        if _is_short(context, request.service, now):
            return None
        local, remote = list_usable_servers(context, request)
        targets = [
            server for server in local or remote if not server.is_cold(now)
        ][:HEDGE_PROBES]
        granted = context.budget.take(len(targets), now, ProbePurpose.REPEATED)
        results = await probe_servers(
            targets[:granted],
            probe=context.probe,
            is_sufficient=is_ideal,
            background=context.background,
        )
        idle = [result for result in results if is_ideal(result)]
        return _make_candidate(context, request, idle) if idle else None

    return find_idle_server


def _is_short(
    context: SearchContext, service: ServiceName, now: Monotonic
) -> bool:
    """Return whether requests wait for a service or have done so lately."""
    is_waiting = not context.queues.is_empty(service)
    since = Monotonic(now - SHORTAGE_TIME)
    return is_waiting or context.waits.has_since(service, since)


def _make_candidate(
    context: SearchContext,
    request: PlacementRequest,
    idle: Sequence[ProbeResult],
) -> Candidate | None:
    """Make a candidate of an idle server that may still get the request."""
    allowed = context.list_servers(request.service, request.version_draw)
    permitted = [
        result
        for result in idle
        if result.server in allowed and context.may_receive(result.server)
    ]
    if not permitted:
        return None
    criteria = SelectionCriteria(
        processing_time=context.processing_times.get(request.route),
        zone=context.zone,
        now=context.timers.now(),
    )
    return make_candidate(permitted[0], criteria, len(idle))
