"""Reports on moves: what is true of them now, as far as this host can know."""

import enum
from collections.abc import Callable, Sequence

import msgspec

from ebonystream._ids import EpochMs
from ebonystream.move._confirmation import (
    Confirmation,
    WaitingHost,
    describe_waiting,
    list_waiting,
)
from ebonystream.move._move import Move, VersionMove
from ebonystream.move._records import VerdictKind


class MoveState(enum.Enum):
    """How far a move is."""

    ASKED = 'asked'
    """It is accepted; some live entry host has not confirmed it."""

    RUNNING = 'running'
    """Every live entry host follows it; calls or traffic are still to move."""

    FINISHED = 'finished'
    """It is done on every entry host."""

    TAKEN_BACK = 'taken_back'
    """It was undone."""


ExplainMove = Callable[[VersionMove], str]
"""Says what a version move waits for; empty where nothing is known."""


class MoveReport(msgspec.Struct, frozen=True):
    """What is true of a move.

    Attributes:
        move: The move as the log has it.
        state: How far it is.
        finished_ms: When the log took the verdict that finished it.
        late: Whether its time has passed without a verdict, or before it.
        reason: Why it ended so, or what it waits for.
        in_flight: Calls in hand in the zone over all hosts that were heard.
        waiting: Hosts that it waits for.
    """

    move: Move
    state: MoveState
    finished_ms: EpochMs | None
    late: bool
    reason: str
    in_flight: int
    waiting: tuple[WaitingHost, ...]


def make_report(
    move: Move,
    confirmations: Sequence[Confirmation],
    *,
    now_ms: EpochMs,
    explain: ExplainMove,
) -> MoveReport:
    """Report on a move.

    Args:
        move: The move.
        confirmations: The newest word of each live entry host.
        now_ms: The wall clock.
        explain: Says what a version move waits for.
    """
    waiting = list_waiting(move, confirmations) if move.verdict is None else ()
    return MoveReport(
        move=move,
        state=_find_state(move, waiting),
        finished_ms=_find_finish(move),
        late=_is_late(move, now_ms),
        reason=_find_reason(move, waiting, explain),
        in_flight=sum(one.in_flight for one in waiting),
        waiting=waiting,
    )


def _find_state(move: Move, waiting: Sequence[WaitingHost]) -> MoveState:
    if move.verdict is not None:
        return MoveState(move.verdict.kind.value)
    if all(one.confirmed for one in waiting):
        return MoveState.RUNNING
    return MoveState.ASKED


def _find_finish(move: Move) -> EpochMs | None:
    verdict = move.verdict
    if verdict is None or verdict.kind is not VerdictKind.FINISHED:
        return None
    return verdict.at_ms


def _is_late(move: Move, now_ms: EpochMs) -> bool:
    if not isinstance(move, VersionMove):
        return False
    if move.verdict is None:
        return now_ms > move.finish_by_ms
    finished = _find_finish(move)
    return finished is not None and finished > move.finish_by_ms


def _find_reason(
    move: Move, waiting: Sequence[WaitingHost], explain: ExplainMove
) -> str:
    if move.verdict is not None:
        return move.verdict.reason
    if waiting:
        return '; '.join(map(describe_waiting, waiting))
    if isinstance(move, VersionMove):
        return explain(move) or 'no verdict yet'
    return 'every host confirmed; the log has no verdict yet'
