"""Conversion of all moves to and from the state in checkpoints."""

from ebonystream.move._move import MovesState, SettledVersion, ZoneReturn
from ebonystream.move._moves import Moves
from ebonystream.move._table import MoveTable
from ebonystream.move._versions import Versions
from ebonystream.move._zones import Zones


def dump_moves(moves: Moves) -> MovesState:
    """Convert moves to a state; equal moves give equal states.

    Args:
        moves: The moves.
    """
    versions = moves.versions
    settled = (SettledVersion(*item) for item in versions.settled.items())
    return MovesState(
        moves=tuple(moves.table.by_id.values()),
        out=tuple(sorted(moves.zones.evacuated)),
        returns=tuple(sorted(moves.zones.returns.values(), key=_get_zone)),
        settled=tuple(sorted(settled, key=_get_sort_key)),
        taken_back=tuple(sorted(versions.rolled_back, key=_get_sort_key)),
    )


def load_moves(state: MovesState) -> Moves:
    """Restore moves from a state.

    Args:
        state: A state made by `dump_moves`.
    """
    return Moves(
        table=MoveTable({move.id: move for move in state.moves}),
        zones=Zones(
            evacuated=set(state.out),
            returns={item.zone: item for item in state.returns},
        ),
        versions=Versions(
            settled={item.service: item.version for item in state.settled},
            rolled_back=set(state.taken_back),
        ),
    )


def _get_zone(zone_return: ZoneReturn) -> str:
    return zone_return.zone


def _get_sort_key(settled: SettledVersion) -> tuple[str, str]:
    return settled.service, settled.version
