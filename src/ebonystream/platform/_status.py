"""Records that report the state of version moves to operators."""

import enum
from collections.abc import Mapping
from types import MappingProxyType

import msgspec

from ebonystream._ids import MoveId, ServiceName, VersionName
from ebonystream.platform._errors import FormatError, decode_json
from ebonystream.platform._orders import ROLLOUT_PREFIX
from ebonystream.platform._store_messages import KeyedRecord, Listing
from ebonystream.versionmove import MoveVerdict, VersionMove


class _RolloutState(enum.Enum):
    RUNNING = 'running'
    DONE = 'done'
    ROLLED_BACK = 'rolled_back'


STATES_BY_VERDICT: Mapping[MoveVerdict, _RolloutState] = MappingProxyType(
    {
        MoveVerdict.RUNNING: _RolloutState.RUNNING,
        MoveVerdict.FINISHED: _RolloutState.DONE,
        MoveVerdict.ROLLED_BACK: _RolloutState.ROLLED_BACK,
    }
)
VERDICTS_BY_STATE: Mapping[_RolloutState, MoveVerdict] = MappingProxyType(
    {state: verdict for verdict, state in STATES_BY_VERDICT.items()}
)


class _StatusRecord(msgspec.Struct):
    """One report.

    The platform's format has no `order`; this system adds the field to tell
    apart the reports of different orders for a service.
    """

    state: _RolloutState
    target_version: str
    order: str = ''


def encode_move_status(move: VersionMove) -> KeyedRecord:
    """Encode a report of the current state of a move.

    Args:
        move: The version move to report.
    """
    status = _StatusRecord(
        state=STATES_BY_VERDICT[move.verdict],
        target_version=VersionName(move.version),
        order=move.id,
    )
    return KeyedRecord(
        f'{ROLLOUT_PREFIX}{move.service}', msgspec.json.encode(status)
    )


def find_reported_verdict(
    listing: Listing, service: ServiceName, move_id: MoveId
) -> MoveVerdict | None:
    """Return the verdict reported for an order.

    The result is None if the newest report on the service is missing, cannot
    be decoded or is on another order.

    Args:
        listing: The newest records of the status topic.
        service: The service that the order moves.
        move_id: The id of the order.
    """
    for record in listing.records:
        if record.key != f'{ROLLOUT_PREFIX}{service}':
            continue
        try:
            status = decode_json(record.content, _StatusRecord)
        except FormatError:
            return None
        return (
            VERDICTS_BY_STATE[status.state] if status.order == move_id else None
        )
    return None
