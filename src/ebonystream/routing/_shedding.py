"""Shedding: a call that would wait too long is refused at once."""

from collections.abc import Callable

from ebonystream._ids import Monotonic
from ebonystream.backend import (
    UsualTimes,
)
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.routing._service import ServiceSlots
from ebonystream.routing._waiting import Waiting

MOST_WAITING = 1024
"""Calls of one service that wait at one host."""

Shed = Callable[[ServiceSlots, Monotonic], None]
"""Refuses calls of a service that would wait too long, the last ones first."""


Patience = Callable[[int], float]
"""Gives the part of its time that a call of a rank may wait."""


def make_shedding(*, usual: UsualTimes, patience: Patience) -> Shed:
    """Make the function that refuses what would wait too long.

    Args:
        usual: How long calls usually take.
        patience: Gives the part of its time that a call may wait.
    """

    def shed(slots: ServiceSlots, now: Monotonic) -> None:
        if len(slots.line.waiting) > MOST_WAITING:
            slots.line.drop_last().refuse(_explain('the line is full'))
        for last in list(reversed(slots.line.waiting)):
            if not _waits_too_long(slots, last, now):
                return
            slots.line.leave(last)
            last.refuse(_explain('the wait would be too long'))

    def _waits_too_long(
        slots: ServiceSlots, last: Waiting, now: Monotonic
    ) -> bool:
        places = max(1, len(slots.held.slots))
        usual_time = usual.estimate(last.call.route)
        expected = len(slots.line.waiting) * usual_time / places
        longest = patience(last.rank) * (last.call.deadline - last.since)
        return now - last.since + expected > longest

    return shed


def _explain(reason: str) -> EbonystreamError:
    return EbonystreamError(ErrorKind.OVER_LIMIT, reason)
