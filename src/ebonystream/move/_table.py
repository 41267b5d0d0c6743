"""The table of the open moves and the latest closed ones."""

from collections.abc import Iterable

import attrs
import msgspec

from ebonystream._ids import MoveId
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.move._move import Move, Verdict, VersionMove, ZoneMove

MAX_CLOSED_MOVES = 256
"""Upper bound on the closed moves kept for reports."""


@attrs.define
class MoveTable:
    """Moves by id.

    Attributes:
        by_id: The moves, in the order of their requests.
    """

    by_id: dict[MoveId, Move] = attrs.field(factory=dict)

    def get(self, move_id: MoveId) -> Move:
        """Return a move.

        Raises:
            EbonystreamError: There is no move with this id.
        """
        move = self.by_id.get(move_id)
        if move is None:
            raise EbonystreamError(ErrorKind.NOT_FOUND, f'move {move_id}')
        return move

    def get_open(self, move_id: MoveId) -> Move:
        """Return an open move.

        Raises:
            EbonystreamError: There is no move with this id, or it is closed.
        """
        move = self.by_id.get(move_id)
        if move is None:
            reason = f'there is no move {move_id}'
            raise EbonystreamError(ErrorKind.MOVE_REJECTED, reason)
        if move.verdict is not None:
            reason = f'move {move_id} is {move.verdict.kind.value} already'
            raise EbonystreamError(ErrorKind.MOVE_REJECTED, reason)
        return move

    def add(self, move: Move) -> None:
        """Add a move that was requested."""
        assert move.id not in self.by_id, f'move {move.id} was requested twice'
        self.by_id[move.id] = move

    def close(self, move: Move, verdict: Verdict) -> None:
        """Close a move with a verdict, and evict the oldest closed moves."""
        assert move.verdict is None, f'move {move.id} got a second verdict'
        self.by_id[move.id] = msgspec.structs.replace(move, verdict=verdict)
        closed = [
            known.id
            for known in self.by_id.values()
            if known.verdict is not None
        ]
        excess = max(len(closed) - MAX_CLOSED_MOVES, 0)
        for evicted in closed[:excess]:
            self.by_id.pop(evicted)

    def list_open_zone_moves(self) -> tuple[ZoneMove, ...]:
        """List the open zone moves."""
        return tuple(
            move
            for move in self.by_id.values()
            if isinstance(move, ZoneMove) and move.verdict is None
        )

    def list_open_version_moves(self) -> tuple[VersionMove, ...]:
        """List the open version moves."""
        return tuple(
            move
            for move in self.by_id.values()
            if isinstance(move, VersionMove) and move.verdict is None
        )

    def list_open_ids(self) -> frozenset[MoveId]:
        """List the ids of the open moves."""
        return frozenset(
            move.id for move in self.by_id.values() if move.verdict is None
        )

    def check_invariants(self) -> None:
        """Assert that no zone and no service has two open moves."""
        _check_unique(
            'zone', (move.zone for move in self.list_open_zone_moves())
        )
        _check_unique(
            'service', (move.service for move in self.list_open_version_moves())
        )


def _check_unique(kind: str, names: Iterable[str]) -> None:
    listed = list(names)
    assert len(listed) == len(set(listed)), (
        f'two open moves of one {kind}: {listed}'
    )
