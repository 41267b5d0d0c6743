"""Applies the reserve of a service to the search for a server."""

from collections.abc import Sequence

import attrs

from ebonystream._ids import Seconds
from ebonystream.placement._context import FindServer, SearchContext
from ebonystream.placement._request import PlacementRequest
from ebonystream.placement._reservation import may_start
from ebonystream.placement._results import (
    Candidate,
    NoCapacity,
    ProbeResult,
    Reserve,
    ReserveDecision,
)
from ebonystream.roster import is_unreliable

NO_RESERVE = Reserve(share=0, urgent_work=0, age=Seconds(0))


def get_reserve(context: SearchContext, request: PlacementRequest) -> Reserve:
    """Return what a request leaves to more urgent ones of its service.

    Only a request with time to spare leaves anything.

    Args:
        context: Dependencies and state of the search.
        request: The request to place.
    """
    rank = request.get_rank()
    if not (rank and context.is_patient(request)):
        return NO_RESERVE
    now = context.timers.now()
    reservations = context.reservations
    # Counting the slots of all servers takes long in comparison.
    if not reservations.has_more_urgent(request.service, rank, now):
        return NO_RESERVE
    servers = context.list_servers(request.service, request.version_draw)
    slots = sum(
        server.entry.slots
        for server in servers
        if server.is_usable(now) and not is_unreliable(server, now)
    )
    return reservations.get_reserve(request, slots=slots, now=now)


def check_reserve(
    context: SearchContext,
    request: PlacementRequest,
    result: Candidate | NoCapacity,
    probe_results: Sequence[ProbeResult],
) -> Candidate | NoCapacity:
    """Reject a selected server whose slot is left to more urgent requests.

    Args:
        context: Dependencies and state of the search.
        request: The request to place.
        result: The selected server, or why there is none.
        probe_results: Results of the probes.
    """
    reserve = get_reserve(context, request)
    if not reserve.share:
        return result
    sample = context.reservations.sample_free_slots(
        request.service, probe_results, context.timers.now()
    )
    decision = ReserveDecision(
        reserve=reserve, free=sample.free, slots=sample.slots
    )
    if isinstance(result, NoCapacity) or may_start(sample, reserve):
        return attrs.evolve(result, reserve=decision)
    return NoCapacity(
        retry_after=result.expected_latency,
        probe_count=result.probe_count,
        reason='reserved',
        probe_results=tuple(probe_results),
        reserve=decision,
    )


def make_counted_search(
    find_server: FindServer, context: SearchContext
) -> FindServer:
    """Return a search that counts requests by service and rank.

    Args:
        find_server: Selects a server.
        context: Dependencies and state of the search.
    """

    async def find_and_count(
        request: PlacementRequest,
    ) -> Candidate | NoCapacity:
        result: Candidate | NoCapacity | None = None
        try:
            result = await find_server(request)
        finally:
            context.reservations.counts.record(
                request,
                processing_time=context.processing_times.get(request.route),
                is_started=isinstance(result, Candidate),
                now=context.timers.now(),
            )
        return result

    return find_and_count
