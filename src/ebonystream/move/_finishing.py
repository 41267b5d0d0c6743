"""Finishing: a zone move gets its verdict once every host confirmed it."""

from collections.abc import Awaitable, Callable, Sequence
from random import Random

from ebonystream._ids import MoveId, Seconds
from ebonystream._timers import MS_PER_SECOND, Timers
from ebonystream.move._confirmation import (
    Confirmation,
    ListConfirmations,
    list_waiting,
)
from ebonystream.move._move import ZoneMove
from ebonystream.move._moves import Moves
from ebonystream.move._records import VerdictKind

CHECK_PERIOD_MS = 250
MAX_PAUSE_MS = 500

FINISHED_REASON = 'every live entry host confirmed it'

EndMove = Callable[[MoveId, VerdictKind, str], Awaitable[None]]
"""Asks the log for a verdict on a move; the first one in the log counts.

Raises nothing: whoever asks looks at the move itself for what became of it.
"""


async def finish_zone_moves(
    *,
    get_moves: Callable[[], Moves],
    list_confirmations: ListConfirmations,
    end_move: EndMove,
    timers: Timers,
    random: Random,
) -> None:
    """Ask for the verdict on each zone move that is done, for ever.

    Args:
        get_moves: Gives the moves in force.
        list_confirmations: Gives the newest word of each live entry host.
        end_move: Asks the log for the verdict.
        timers: Tells the time.
        random: The seeded source of random choices.
    """
    period = Seconds(CHECK_PERIOD_MS / MS_PER_SECOND)
    async for _ in timers.subscribe(period=period):
        if not _list_done(get_moves(), list_confirmations()):
            continue
        # Every host sees it at about the same time; mostly one of them asks.
        pause_ms = random.uniform(0, MAX_PAUSE_MS)
        await timers.wait(Seconds(pause_ms / MS_PER_SECOND))
        for move in _list_done(get_moves(), list_confirmations()):
            await end_move(move.id, VerdictKind.FINISHED, FINISHED_REASON)


def _list_done(
    moves: Moves, words: Sequence[Confirmation]
) -> tuple[ZoneMove, ...]:
    every = moves.table.list_zone_moves()
    return tuple(move for move in every if not list_waiting(move, words))
