"""Search for a server with capacity for one request."""

from collections.abc import Sequence

import attrs
import trio

from ebonystream._ids import Monotonic, Seconds
from ebonystream.placement._context import FindServer, SearchContext
from ebonystream.placement._probing import (
    list_usable_servers,
    probe_local,
    probe_remote,
)
from ebonystream.placement._queue_time import (
    get_queue_deadline,
    reject_hopeless,
    set_retry,
)
from ebonystream.placement._request import PlacementRequest
from ebonystream.placement._reserve_check import (
    check_reserve,
    get_reserve,
    make_counted_search,
)
from ebonystream.placement._results import Candidate, NoCapacity, ProbeResult
from ebonystream.placement._selection import (
    SelectionCriteria,
    is_ideal,
    select_server,
)
from ebonystream.placement._wait_queue import Waiter

MAX_LOCAL_SHARE = 0.75
"""Largest share of the time to the objective that a response of a local server
may take. Other zones are probed only beyond it, as traffic between zones is
expensive."""

PROBE_INTERVAL = Seconds(0.04)
"""Interval at which the first request of a queue probes servers."""


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
        if not context.queues.count_as_urgent(
            request.service, request.get_rank()
        ):
            result = await _probe_and_select(context, request)
        if isinstance(result, NoCapacity):
            return await _wait_in_queue(context, request, result)
        return result

    return make_counted_search(find_server, context)


async def _wait_in_queue(
    context: SearchContext,
    request: PlacementRequest,
    first_result: NoCapacity,
) -> Candidate | NoCapacity:
    result: Candidate | NoCapacity = first_result
    processing_time = context.processing_times.get(request.route)
    expected_late = request.is_late_if_started_at(
        context.timers.now(), processing_time
    )
    queue_deadline = get_queue_deadline(context, request, processing_time)
    rejection = reject_hopeless(context, request, first_result, queue_deadline)
    if rejection is not None:
        return rejection
    was_held = False
    with context.queues.join(request, expected_late=expected_late) as waiter:
        while (
            isinstance(result, NoCapacity)
            and context.timers.now() < queue_deadline
        ):
            was_held = was_held or result.reason == 'reserved'
            freed = await _wait_for_freed(waiter, queue_deadline, context)
            if freed is not None:
                result = _select_freed(context, waiter, freed)
            elif context.queues.claim_probe_turn(
                waiter, context.timers.now(), period=PROBE_INTERVAL
            ):
                result = await _probe_and_select(
                    context, request, repeated=True
                )
        if isinstance(result, Candidate):
            context.queues.record_served(waiter)
    context.waits.record(request.service, context.timers.now())
    if isinstance(result, NoCapacity):
        result = await _select_late(context, request)
    if isinstance(result, NoCapacity):
        result = set_retry(context, request, result)
    return attrs.evolve(result, was_held=was_held)


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


async def _select_late(
    context: SearchContext, request: PlacementRequest
) -> Candidate | NoCapacity:
    """Select a server for a request that will be late.

    While requests that can still be on time are queued, only servers that are
    too slow for new requests are selected.
    """
    spare_only = context.queues.has_request_on_time(
        request.service, request.get_rank()
    )
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
    local, remote = list_usable_servers(context, request)
    reserve = get_reserve(context, request)
    yields = reserve.share > 0
    results = await probe_local(
        context,
        local,
        repeated=repeated,
        yields=yields,
        # One idle server shows nothing about the share of free slots.
        is_sufficient=_is_never_sufficient if yields else is_ideal,
    )
    if any(map(is_ideal, results)):
        # If the first server to respond is idle, capacity is plentiful.
        is_plentiful = len(results) == 1 and not yields
        return _select(
            context,
            request,
            results,
            allow_late=allow_late or is_plentiful,
            spare_only=spare_only,
        )
    result = _select(context, request, results)
    if isinstance(result, Candidate) and _is_safely_on_time(
        context, request, result
    ):
        return result
    results += await probe_remote(
        context, remote, repeated=repeated, yields=yields
    )
    return _select(
        context, request, results, allow_late=allow_late, spare_only=spare_only
    )


def _is_safely_on_time(
    context: SearchContext, request: PlacementRequest, candidate: Candidate
) -> bool:
    time_left = request.get_target_time() - context.timers.now()
    return candidate.expected_latency <= time_left * MAX_LOCAL_SHARE


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
    # A probe may have found that its server is cold.
    permitted = [
        result for result in results if context.may_receive(result.server)
    ]
    result = select_server(request, permitted, criteria)
    return check_reserve(context, request, result, results)


def _is_never_sufficient(result: ProbeResult) -> bool:
    return False
