"""Records of the control stream, encoded as JSON."""

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

SCHEMA_VERSION = 1
"""Version of the format of `SerializedState` and of the rules of the fold;
incremented whenever either changes."""

MAX_NESTING_DEPTH = 32
MAX_REQUEST_ID_LENGTH = 128

Decoded = TypeVar('Decoded')


class Publish(msgspec.Struct, tag='publish', frozen=True):
    """Both lists, published together.

    Attributes:
        request: Id of this publish, by which its sender finds the decision.
        based_on: The version of the lists that the operator edited.
        lists: The lists as JSON values, as the operators wrote them.
    """

    request: Annotated[
        RequestId, msgspec.Meta(min_length=1, max_length=MAX_REQUEST_ID_LENGTH)
    ]
    based_on: ConfigurationVersion
    lists: dict[str, Any]


class SerializedState(msgspec.Struct, frozen=True):
    """The state after all records before an offset.

    Attributes:
        schema: The `SCHEMA_VERSION` of its writer; states of different
            schemas are not comparable.
        next: The offset of the first record that is not included.
        version: The version of the lists.
        lists: The lists as JSON values; None before the first publish.
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

    A checkpoint is void if its offset differs from `next` of its state: another
    record was appended in between, and the next checkpoint will include it.

    Attributes:
        state: The state.
    """

    state: SerializedState


RequestRecord = (
    Publish | RequestZoneMove | RequestVersionMove | RollBackMove | CloseMove
)
"""Records with a request id, each of which is accepted or rejected."""

ControlRecord = RequestRecord | Checkpoint
"""All kinds of records in the control stream."""

_decoder = msgspec.json.Decoder(ControlRecord)
_state_decoder = msgspec.json.Decoder(SerializedState)


def decode_record(body: bytes) -> ControlRecord | None:
    """Decode a record; return None if it is malformed.

    Args:
        body: The body of the log record.
    """
    return _decode(_decoder, body)


def decode_state(body: bytes) -> SerializedState | None:
    """Decode a snapshot; return None if it is malformed.

    Args:
        body: The snapshot, as received from a peer.
    """
    return _decode(_state_decoder, body)


def _decode(
    decoder: msgspec.json.Decoder[Decoded], body: bytes
) -> Decoded | None:
    # The nesting depth that a parser can handle depends on its stack. A fixed
    # lower limit makes all hosts reach the same decision.
    if measure_depth(body) > MAX_NESTING_DEPTH:
        return None
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError:
        return None
