"""Periodic evaluation of version moves, and requests for their verdicts."""

from collections.abc import Iterator
from random import Random

from ebonystream._ids import MoveId, Seconds
from ebonystream._timers import Timers
from ebonystream.move import EndMove, VerdictKind
from ebonystream.version._traffic import VersionTraffic

EVALUATION_PERIOD = Seconds(0.5)

MAX_REQUEST_DELAY = Seconds(0.5)
"""Upper bound on the random delay before a host requests a verdict."""

FINISHED_REASON = 'every route moved with its evidence'

DueVerdict = tuple[MoveId, VerdictKind, str]
"""A move, the verdict to request for it, and the reason."""


async def evaluate_version_moves(
    *,
    traffic: VersionTraffic,
    end_move: EndMove,
    timers: Timers,
    random: Random,
) -> None:
    """Advance version moves and request their verdicts, indefinitely.

    Args:
        traffic: The open version moves on this host.
        end_move: Requests a verdict in the log. If the request fails, it is
            repeated in the next period.
        timers: Source of the current time.
        random: Seeded source of random numbers.
    """
    async for _ in timers.subscribe(period=EVALUATION_PERIOD):
        traffic.refresh(timers.wall_ms())
        if not any(list_due_verdicts(traffic)):
            continue
        # All hosts reach a verdict at about the same time. After a random
        # delay, usually only one of them still has to request it.
        await timers.wait(Seconds(random.uniform(0, MAX_REQUEST_DELAY)))
        traffic.refresh(timers.wall_ms())
        for move, verdict, reason in list(list_due_verdicts(traffic)):
            await end_move(move, verdict, reason)


def list_due_verdicts(traffic: VersionTraffic) -> Iterator[DueVerdict]:
    """Yield the verdicts that the moves of this host call for now.

    Args:
        traffic: The open version moves on this host.
    """
    for move, progress in traffic.progress.items():
        if progress.stop_reason is not None:
            yield move, VerdictKind.ROLLED_BACK, progress.stop_reason
        elif progress.is_complete:
            yield move, VerdictKind.FINISHED, FINISHED_REASON
