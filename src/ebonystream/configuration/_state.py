"""The fold as one value, for checkpoints and snapshots."""

from ebonystream._ids import Offset
from ebonystream.configuration._decisions import Decisions
from ebonystream.configuration._folded import Folded
from ebonystream.configuration._published import load_published
from ebonystream.configuration._records import SCHEMA, ControlState
from ebonystream.errors import EbonystreamError
from ebonystream.move import dump_moves, load_moves


def dump_folded(folded: Folded, as_of: Offset) -> ControlState:
    """Spell a fold as one value; equal folds give equal values.

    Args:
        folded: What the records before an offset come to.
        as_of: That offset.
    """
    lists = folded.published.lists
    return ControlState(
        schema=SCHEMA,
        next=as_of,
        version=folded.published.version,
        lists=None if lists is None else lists.model_dump(mode='json'),
        decisions=tuple(folded.decisions.by_request.values()),
        moves=dump_moves(folded.moves),
    )


def load_folded(state: ControlState) -> Folded | None:
    """Make the fold that a value spells; None where it can't be used.

    Args:
        state: What `dump_folded` gave, here or on another host.
    """
    if state.schema != SCHEMA:
        return None
    try:
        published = load_published(state.version, state.lists)
    except EbonystreamError:
        return None
    moves = load_moves(state.moves)
    moves.check_invariants()
    by_request = {one.request: one for one in state.decisions}
    return Folded(published, moves, Decisions(by_request))
