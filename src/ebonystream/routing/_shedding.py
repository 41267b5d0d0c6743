"""Load shedding: refuses calls that would wait too long."""

from collections.abc import Callable

from ebonystream._ids import Monotonic
from ebonystream.backend import (
    UsualTimes,
)
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.routing._service import ServiceSlots
from ebonystream.routing._waiting import Waiting

MAX_QUEUE_LENGTH = 1024
"""Largest number of calls of one service that wait on one host."""

ShedCalls = Callable[[ServiceSlots, Monotonic], None]
"""Refuses calls of a service that would wait too long, starting with the least
urgent one."""


GetMaxWaitShare = Callable[[int], float]
"""Returns the share of its time limit that a call of a given rank may wait."""


def make_shedding(*, usual: UsualTimes, patience: GetMaxWaitShare) -> ShedCalls:
    """Return a function that refuses calls that would wait too long.

    Args:
        usual: Usual duration of a call, by route.
        patience: Returns the share of its time limit that a call may wait.
    """

    def shed_calls(slots: ServiceSlots, now: Monotonic) -> None:
        if len(slots.line.waiting) > MAX_QUEUE_LENGTH:
            slots.line.pop_last().refuse(_make_error('the line is full'))
        for waiter in list(reversed(slots.line.waiting)):
            if not _waits_too_long(slots, waiter, now):
                return
            slots.line.leave(waiter)
            waiter.refuse(_make_error('the wait would be too long'))

    def _waits_too_long(
        slots: ServiceSlots, waiter: Waiting, now: Monotonic
    ) -> bool:
        slot_count = max(1, len(slots.held.slots))
        usual_duration = usual.estimate(waiter.call.route)
        expected_wait = len(slots.line.waiting) * usual_duration / slot_count
        max_wait = patience(waiter.rank) * (waiter.call.deadline - waiter.since)
        return now - waiter.since + expected_wait > max_wait

    return shed_calls


def _make_error(reason: str) -> EbonystreamError:
    return EbonystreamError(ErrorKind.OVER_LIMIT, reason)
