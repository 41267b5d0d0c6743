"""Load shedding: refuses calls that would wait too long."""

from collections.abc import Callable

from ebonystream._ids import Monotonic
from ebonystream.backend import (
    UsualLatencies,
)
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.routing._service import ServiceSlots
from ebonystream.routing._waiting import Waiter

MAX_QUEUE_LENGTH = 1024
"""Largest number of calls of one service that wait on one host."""

ShedCalls = Callable[[ServiceSlots, Monotonic], None]
"""Refuses calls of a service that would wait too long, starting with the least
urgent one."""


GetMaxWaitFraction = Callable[[int], float]
"""Returns the fraction of its time limit that a call of a given rank may
wait."""


def make_shed_calls(
    *,
    usual_latencies: UsualLatencies,
    get_max_wait_fraction: GetMaxWaitFraction,
) -> ShedCalls:
    """Return a function that refuses calls that would wait too long.

    Args:
        usual_latencies: Usual latency of a call, by route.
        get_max_wait_fraction: Returns the fraction of its time limit that a
            call may wait.
    """

    def shed_calls(slots: ServiceSlots, now: Monotonic) -> None:
        if len(slots.queue.waiters) > MAX_QUEUE_LENGTH:
            slots.queue.pop_last().refuse(_make_error('the line is full'))
        for waiter in list(reversed(slots.queue.waiters)):
            if not _waits_too_long(slots, waiter, now):
                return
            slots.queue.remove(waiter)
            waiter.refuse(_make_error('the wait would be too long'))

    def _waits_too_long(
        slots: ServiceSlots, waiter: Waiter, now: Monotonic
    ) -> bool:
        slot_count = max(1, len(slots.held.slots))
        usual_latency = usual_latencies.get_usual(waiter.call.route)
        expected_wait = len(slots.queue.waiters) * usual_latency / slot_count
        max_wait = get_max_wait_fraction(waiter.rank) * (
            waiter.call.deadline - waiter.queued_at
        )
        return now - waiter.queued_at + expected_wait > max_wait

    return shed_calls


def _make_error(reason: str) -> EbonystreamError:
    return EbonystreamError(ErrorKind.OVER_LIMIT, reason)
