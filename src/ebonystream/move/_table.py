"""The table of moves: open ones, and the latest that were closed."""

from collections.abc import Iterable

import attrs
import msgspec

from ebonystream._ids import MoveId
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.move._move import Move, Verdict, VersionMove, ZoneMove

CLOSED_KEPT = 256
"""How many closed moves can still be reported on."""


@attrs.define
class MoveTable:
    """Moves by name.

    Attributes:
        by_id: The moves in the order of asking.
    """

    by_id: dict[MoveId, Move] = attrs.field(factory=dict)

    def find(self, move: MoveId) -> Move:
        """Give a move.

        Raises:
            EbonystreamError: There is none of that name.
        """
        found = self.by_id.get(move)
        if found is None:
            raise EbonystreamError(ErrorKind.NOT_FOUND, f'move {move}')
        return found

    def find_open(self, move: MoveId) -> Move:
        """Give a move that has no verdict.

        Raises:
            EbonystreamError: There is none of that name, or it is closed.
        """
        found = self.by_id.get(move)
        if found is None:
            reason = f'there is no move {move}'
            raise EbonystreamError(ErrorKind.MOVE_REJECTED, reason)
        if found.verdict is not None:
            reason = f'move {move} is {found.verdict.kind.value} already'
            raise EbonystreamError(ErrorKind.MOVE_REJECTED, reason)
        return found

    def add(self, move: Move) -> None:
        """Add a move that was asked for."""
        assert move.id not in self.by_id, f'move {move.id} was asked for twice'
        self.by_id[move.id] = move

    def close(self, move: Move, verdict: Verdict) -> None:
        """Give an open move its verdict and forget the oldest closed ones."""
        assert move.verdict is None, f'move {move.id} got a second verdict'
        self.by_id[move.id] = msgspec.structs.replace(move, verdict=verdict)
        closed = [
            one.id for one in self.by_id.values() if one.verdict is not None
        ]
        surplus = max(len(closed) - CLOSED_KEPT, 0)
        for forgotten in closed[:surplus]:
            self.by_id.pop(forgotten)

    def list_zone_moves(self) -> tuple[ZoneMove, ...]:
        """Give the open zone moves."""
        return tuple(
            one
            for one in self.by_id.values()
            if isinstance(one, ZoneMove) and one.verdict is None
        )

    def list_version_moves(self) -> tuple[VersionMove, ...]:
        """Give the open version moves."""
        return tuple(
            one
            for one in self.by_id.values()
            if isinstance(one, VersionMove) and one.verdict is None
        )

    def list_open(self) -> frozenset[MoveId]:
        """Name the moves that have no verdict."""
        return frozenset(
            one.id for one in self.by_id.values() if one.verdict is None
        )

    def check(self) -> None:
        """Assert that no zone and no service is in two open moves."""
        _check_single('zone', (one.zone for one in self.list_zone_moves()))
        _check_single(
            'service', (one.service for one in self.list_version_moves())
        )


def _check_single(what: str, names: Iterable[str]) -> None:
    seen = list(names)
    assert len(seen) == len(set(seen)), f'two open moves of one {what}: {seen}'
