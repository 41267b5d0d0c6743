"""Serialization of the state, for checkpoints and snapshots."""

from ebonystream._ids import Offset
from ebonystream.configuration._decisions import Decisions
from ebonystream.configuration._folded_state import FoldedState
from ebonystream.configuration._published import load_published
from ebonystream.configuration._records import SCHEMA_VERSION, SerializedState
from ebonystream.errors import EbonystreamError
from ebonystream.move import dump_moves, load_moves


def dump_state(
    folded_state: FoldedState, next_offset: Offset
) -> SerializedState:
    """Serialize a state; equal states give equal values.

    Args:
        folded_state: The state.
        next_offset: The offset of the first record that it does not include.
    """
    lists = folded_state.published.lists
    return SerializedState(
        schema=SCHEMA_VERSION,
        next=next_offset,
        version=folded_state.published.version,
        lists=None if lists is None else lists.model_dump(mode='json'),
        decisions=tuple(folded_state.decisions.by_request.values()),
        moves=dump_moves(folded_state.moves),
    )


def load_state(serialized: SerializedState) -> FoldedState | None:
    """Restore a state; return None if its schema or its lists are invalid.

    Args:
        serialized: The return value of `dump_state`, on this or another host.
    """
    if serialized.schema != SCHEMA_VERSION:
        return None
    try:
        published = load_published(serialized.version, serialized.lists)
    except EbonystreamError:
        return None
    moves = load_moves(serialized.moves)
    moves.check_invariants()
    by_request = {
        decision.request: decision for decision in serialized.decisions
    }
    return FoldedState(published, moves, Decisions(by_request))
