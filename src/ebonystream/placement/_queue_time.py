"""How long a request waits for capacity, and when a rejected one may return."""

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream.placement._context import SearchContext
from ebonystream.placement._request import PlacementRequest
from ebonystream.placement._reserve_check import get_reserve
from ebonystream.placement._results import NoCapacity

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

MAX_YIELDING_TIME_SHARE = 0.6
"""The same share for a request that leaves free slots to more urgent ones."""

MIN_START_RATE = 0.05
"""Lower bound on the requests per second that a host is assumed to start."""

RETRY_SPREAD = 0.5
"""Random part of the time after which a rejected request may return, so that
requests that were rejected together do not return together."""


def get_queue_deadline(
    context: SearchContext, request: PlacementRequest, processing_time: Seconds
) -> Monotonic:
    """Return until when a request is queued.

    It is queued while it can be on time, but at least for
    `MIN_QUEUE_OBJECTIVE_SHARE` and at most for `MAX_QUEUE_TIME_SHARE`.

    Args:
        context: Dependencies and state of the search.
        request: The request to queue.
        processing_time: Usual processing time of its route, in seconds.
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
    is_yielding = get_reserve(context, request).share > 0
    max_share = MAX_YIELDING_TIME_SHARE if is_yielding else MAX_QUEUE_TIME_SHARE
    max_deadline = arrived_at + max_share * (request.deadline - arrived_at)
    return Monotonic(min(queue_deadline, max_deadline))


def reject_hopeless(
    context: SearchContext,
    request: PlacementRequest,
    result: NoCapacity,
    queue_deadline: Monotonic,
) -> NoCapacity | None:
    """Reject a request that would not be started before its time is over.

    Only requests that leave free slots to more urgent ones are rejected: the
    requests before them in the queue need longer than they can wait, at the
    rate at which hosts have started requests of this rank lately.

    Args:
        context: Dependencies and state of the search.
        request: The request to queue.
        result: Why no server was selected.
        queue_deadline: Until when the request could wait.

    Returns:
        The rejection; None if the request may wait.
    """
    if not get_reserve(context, request).share:
        return None
    wait = _estimate_wait(context, request)
    if context.timers.now() + wait <= queue_deadline:
        return None
    return attrs.evolve(
        result,
        reason='queue_full',
        retry_after=spread_retry(context, wait),
    )


def set_retry(
    context: SearchContext, request: PlacementRequest, result: NoCapacity
) -> NoCapacity:
    """Set when a request that waited in vain may return.

    Args:
        context: Dependencies and state of the search.
        request: The request, which is no longer queued.
        result: Why no server was selected.
    """
    if not get_reserve(context, request).share:
        return result
    wait = _estimate_wait(context, request)
    retry_after = spread_retry(context, max(wait, result.retry_after))
    return attrs.evolve(result, retry_after=retry_after)


def spread_retry(context: SearchContext, wait: Seconds) -> Seconds:
    """Return a wait with a random part, in seconds.

    Args:
        context: Dependencies and state of the search.
        wait: The expected wait, in seconds.
    """
    return Seconds(wait * context.random.uniform(1, 1 + RETRY_SPREAD))


def _estimate_wait(
    context: SearchContext, request: PlacementRequest
) -> Seconds:
    """Estimate the time until all requests before this one have started."""
    rank = request.get_rank()
    ahead = context.queues.count_as_urgent(request.service, rank)
    rate = context.reservations.get_start_rate(request.service, rank)
    return Seconds(ahead / max(rate, MIN_START_RATE))
