"""Requests for the verdict on zone moves that all hosts have carried out."""

from collections.abc import Awaitable, Callable, Sequence
from random import Random

from ebonystream._ids import MoveId, Seconds
from ebonystream._timers import MS_PER_SECOND, Timers
from ebonystream.move._confirmation import (
    Confirmation,
    ListConfirmations,
    list_waiting_hosts,
)
from ebonystream.move._move import ZoneMove
from ebonystream.move._moves import Moves
from ebonystream.move._records import VerdictKind

CHECK_PERIOD_MS = 250
MAX_REQUEST_DELAY_MS = 500
"""Upper bound on the random delay before a host requests a verdict."""

FINISHED_REASON = 'every live entry host confirmed it'

EndMove = Callable[[MoveId, VerdictKind, str], Awaitable[None]]
"""Requests a verdict on a move; the first verdict in the log prevails.

Raises no error: the caller reads the result from the move itself.
"""


async def finish_zone_moves(
    *,
    get_moves: Callable[[], Moves],
    list_confirmations: ListConfirmations,
    end_move: EndMove,
    timers: Timers,
    random: Random,
) -> None:
    """Request the verdict on each completed zone move, indefinitely.

    Args:
        get_moves: Returns the current state of the moves.
        list_confirmations: Lists the latest state of each live entry host.
        end_move: Requests a verdict in the log.
        timers: Source of the current time.
        random: Seeded source of random numbers.
    """
    period = Seconds(CHECK_PERIOD_MS / MS_PER_SECOND)
    async for _ in timers.subscribe(period=period):
        if not _list_completed(get_moves(), list_confirmations()):
            continue
        # All hosts see the move completed at about the same time. After a
        # random delay, usually only one of them still has to request the
        # verdict.
        delay_ms = random.uniform(0, MAX_REQUEST_DELAY_MS)
        await timers.wait(Seconds(delay_ms / MS_PER_SECOND))
        for move in _list_completed(get_moves(), list_confirmations()):
            await end_move(move.id, VerdictKind.FINISHED, FINISHED_REASON)


def _list_completed(
    moves: Moves, confirmations: Sequence[Confirmation]
) -> tuple[ZoneMove, ...]:
    open_moves = moves.table.list_open_zone_moves()
    return tuple(
        move
        for move in open_moves
        if not list_waiting_hosts(move, confirmations)
    )
