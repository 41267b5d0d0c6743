"""Moves as one value, for checkpoints and snapshots."""

from ebonystream.move._move import MovesState, SettledVersion, ZoneReturn
from ebonystream.move._moves import Moves
from ebonystream.move._table import MoveTable
from ebonystream.move._versions import Versions
from ebonystream.move._zones import Zones


def dump_moves(moves: Moves) -> MovesState:
    """Spell all moves as one value; equal moves give equal values.

    Args:
        moves: The moves.
    """
    versions = moves.versions
    settled = (SettledVersion(*one) for one in versions.settled.items())
    return MovesState(
        moves=tuple(moves.table.by_id.values()),
        out=tuple(sorted(moves.zones.out)),
        returns=tuple(sorted(moves.zones.returns.values(), key=_get_zone)),
        settled=tuple(sorted(settled, key=_get_names)),
        taken_back=tuple(sorted(versions.taken_back, key=_get_names)),
    )


def load_moves(state: MovesState) -> Moves:
    """Make the moves that a value spells.

    Args:
        state: What `dump_moves` gave.
    """
    return Moves(
        table=MoveTable({one.id: one for one in state.moves}),
        zones=Zones(
            out=set(state.out),
            returns={one.zone: one for one in state.returns},
        ),
        versions=Versions(
            settled={one.service: one.version for one in state.settled},
            taken_back=set(state.taken_back),
        ),
    )


def _get_zone(returned: ZoneReturn) -> str:
    return returned.zone


def _get_names(settled: SettledVersion) -> tuple[str, str]:
    return settled.service, settled.version
