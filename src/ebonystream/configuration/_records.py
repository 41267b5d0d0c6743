"""Records of the control stream, as JSON."""

from typing import Annotated, Any, TypeVar

import msgspec

from ebonystream._ids import ConfigurationVersion, Offset, RequestId
from ebonystream.configuration._decisions import Decision
from ebonystream.configuration._depth import measure_depth
from ebonystream.move import (
    CloseMove,
    MovesState,
    RequestVersionMove,
    RequestZoneMove,
    RollBackMove,
)

SCHEMA = 1
"""Counts the changes of `ControlState` and of the rules that lead to it."""

MAX_DEPTH = 32
MAX_REQUEST = 128

Shape = TypeVar('Shape')


class Publish(msgspec.Struct, tag='publish', frozen=True):
    """Both lists, published together.

    Attributes:
        request: Names this publish, so that its sender finds it again.
        based_on: The version that the operator had read.
        lists: The lists, in the spelling of the operators.
    """

    request: Annotated[
        RequestId, msgspec.Meta(min_length=1, max_length=MAX_REQUEST)
    ]
    based_on: ConfigurationVersion
    lists: dict[str, Any]


class ControlState(msgspec.Struct, frozen=True):
    """What all records before an offset come to.

    Attributes:
        schema: The rules that led to it; others are not comparable.
        next: The offset of the first record that is not in it.
        version: The version of the lists.
        lists: The lists, if any were published.
        decisions: The latest decisions, in the order of the log.
        moves: The moves.
    """

    schema: int
    next: Offset
    version: ConfigurationVersion
    lists: dict[str, Any] | None
    decisions: tuple[Decision, ...]
    moves: MovesState


class Checkpoint(msgspec.Struct, tag='checkpoint', frozen=True):
    """The state as of the record's own offset, for readers that start late.

    A checkpoint that stands at another offset than its state's is void: some
    record came between, and the next checkpoint holds it.

    Attributes:
        state: The state.
    """

    state: ControlState


Asked = (
    Publish | RequestZoneMove | RequestVersionMove | RollBackMove | CloseMove
)
"""Records that are accepted or rejected."""

ControlRecord = Asked | Checkpoint
"""The closed list of records of the control stream."""

_decoder = msgspec.json.Decoder(ControlRecord)
_state_decoder = msgspec.json.Decoder(ControlState)


def decode_record(body: bytes) -> ControlRecord | None:
    """Read a record; None where it is no control record.

    Args:
        body: What the log has.
    """
    return _decode(_decoder, body)


def decode_state(body: bytes) -> ControlState | None:
    """Read a state that a peer sent; None where it is none.

    Args:
        body: What the peer sent.
    """
    return _decode(_state_decoder, body)


def _decode(decoder: msgspec.json.Decoder[Shape], body: bytes) -> Shape | None:
    # How deep a parser can go hangs on the stack it runs on; a limit of our
    # own makes each host come to the same decision.
    if measure_depth(body) > MAX_DEPTH:
        return None
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError:
        return None
