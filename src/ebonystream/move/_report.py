"""Reports on the current state of moves, as far as this host knows it."""

import enum
from collections.abc import Callable, Sequence

import msgspec

from ebonystream._ids import EpochMs
from ebonystream.move._confirmation import (
    Confirmation,
    WaitingHost,
    describe_waiting,
    list_waiting_hosts,
)
from ebonystream.move._move import Move, VersionMove
from ebonystream.move._records import VerdictKind


class MoveState(enum.Enum):
    """How far a move is."""

    ASKED = 'asked'
    """Accepted, but not confirmed by all live entry hosts."""

    RUNNING = 'running'
    """Confirmed by all live entry hosts; some calls have not moved yet."""

    FINISHED = 'finished'
    """Carried out on all entry hosts."""

    ROLLED_BACK = 'taken_back'
    """Rolled back."""


ExplainMove = Callable[[VersionMove], str]
"""Explains what a version move waits for; empty if nothing is known."""


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
    """Make the report on a move.

    Args:
        move: The move.
        confirmations: The latest state of each live entry host.
        now_ms: Current wall-clock time, in milliseconds.
        explain: Explains what a version move waits for.
    """
    waiting = (
        list_waiting_hosts(move, confirmations) if move.verdict is None else ()
    )
    return MoveReport(
        move=move,
        state=_get_state(move, waiting),
        finished_ms=_get_finished_ms(move),
        late=_is_late(move, now_ms),
        reason=_get_reason(move, waiting, explain),
        in_flight=sum(host.in_flight for host in waiting),
        waiting=waiting,
    )


def _get_state(move: Move, waiting: Sequence[WaitingHost]) -> MoveState:
    if move.verdict is not None:
        return MoveState(move.verdict.kind.value)
    if all(host.confirmed for host in waiting):
        return MoveState.RUNNING
    return MoveState.ASKED


def _get_finished_ms(move: Move) -> EpochMs | None:
    verdict = move.verdict
    if verdict is None or verdict.kind is not VerdictKind.FINISHED:
        return None
    return verdict.at_ms


def _is_late(move: Move, now_ms: EpochMs) -> bool:
    if not isinstance(move, VersionMove):
        return False
    if move.verdict is None:
        return now_ms > move.finish_by_ms
    finished_ms = _get_finished_ms(move)
    return finished_ms is not None and finished_ms > move.finish_by_ms


def _get_reason(
    move: Move, waiting: Sequence[WaitingHost], explain: ExplainMove
) -> str:
    if move.verdict is not None:
        return move.verdict.reason
    if waiting:
        return '; '.join(map(describe_waiting, waiting))
    if isinstance(move, VersionMove):
        return explain(move) or 'no verdict yet'
    return 'every host confirmed; the log has no verdict yet'
