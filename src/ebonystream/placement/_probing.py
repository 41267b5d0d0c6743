"""Which servers are probed for a request, within the budget of probes."""

from collections.abc import Sequence

from ebonystream.placement._context import SearchContext
from ebonystream.placement._probe_batch import IsSufficient, probe_servers
from ebonystream.placement._probe_budget import ProbePurpose
from ebonystream.placement._request import PlacementRequest
from ebonystream.placement._results import ProbeResult
from ebonystream.placement._selection import is_ideal
from ebonystream.roster import KnownServer

INITIAL_PROBES = 5
"""Number of servers in the host's zone that are probed first."""

MAX_LOCAL_PROBES = 11
"""Total number probed in the host's zone if none was idle and healthy."""

REMOTE_PROBES = 6
"""Number of servers probed in other zones if no local one is on time."""

REPEATED_REMOTE_PROBES = 2
"""Number of servers probed in other zones at each repeated search."""


def list_usable_servers(
    context: SearchContext, request: PlacementRequest
) -> tuple[list[KnownServer], list[KnownServer]]:
    """List usable servers in random order: in the host's zone, in others.

    Args:
        context: Dependencies and state of the search.
        request: The request to place.
    """
    now = context.timers.now()
    local: list[KnownServer] = []
    remote: list[KnownServer] = []
    for server in context.list_servers(request.service, request.version_draw):
        is_excluded = server.entry.id in request.excluded_servers
        if is_excluded or not server.is_usable(now):
            continue
        # Only a probe shows how long the server of an old entry is cold.
        if server.cold_confirmed and not context.may_receive(server):
            continue
        is_local = server.entry.zone == context.zone
        (local if is_local else remote).append(server)
    context.random.shuffle(local)
    context.random.shuffle(remote)
    return local, remote


async def probe_local(
    context: SearchContext,
    servers: Sequence[KnownServer],
    *,
    repeated: bool,
    yields: bool = False,
    is_sufficient: IsSufficient = is_ideal,
) -> list[ProbeResult]:
    """Probe servers of the host's zone, more of them if none is idle.

    Args:
        context: Dependencies and state of the search.
        servers: Usable servers of the zone.
        repeated: Whether the request is queued.
        yields: Whether the request leaves free slots to more urgent ones.
        is_sufficient: Returns whether a result ends the first probes.
    """
    first, wider = _get_purposes(repeated=repeated, yields=yields)
    results = await _probe(
        context, servers[:INITIAL_PROBES], first, is_sufficient
    )
    if any(map(is_ideal, results)):
        return results
    more_servers = servers[INITIAL_PROBES:MAX_LOCAL_PROBES]
    return results + await _probe(context, more_servers, wider)


async def probe_remote(
    context: SearchContext,
    servers: Sequence[KnownServer],
    *,
    repeated: bool,
    yields: bool = False,
) -> list[ProbeResult]:
    """Probe servers of other zones.

    Args:
        context: Dependencies and state of the search.
        servers: Usable servers of other zones.
        repeated: Whether the request is queued.
        yields: Whether the request leaves free slots to more urgent ones.
    """
    count = REPEATED_REMOTE_PROBES if repeated else REMOTE_PROBES
    purpose = _get_purposes(repeated=repeated, yields=yields)[1]
    return await _probe(context, servers[:count], purpose)


def _get_purposes(
    *, repeated: bool, yields: bool
) -> tuple[ProbePurpose, ProbePurpose]:
    """Return the purposes of the first probes of a search and of more."""
    if repeated:
        purpose = ProbePurpose.YIELDING if yields else ProbePurpose.REPEATED
        return purpose, purpose
    wider = ProbePurpose.YIELDING if yields else ProbePurpose.WIDER
    return ProbePurpose.FIRST, wider


async def _probe(
    context: SearchContext,
    servers: Sequence[KnownServer],
    purpose: ProbePurpose,
    is_sufficient: IsSufficient = is_ideal,
) -> list[ProbeResult]:
    """Probe as many of the servers as the budget grants."""
    granted = context.budget.take(len(servers), context.timers.now(), purpose)
    return await probe_servers(
        servers[:granted],
        probe=context.probe,
        is_sufficient=is_sufficient,
        background=context.background,
    )
