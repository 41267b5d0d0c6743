"""What the system reports to operators about version moves."""

import enum
from collections.abc import Mapping
from types import MappingProxyType

import msgspec

from ebonystream._ids import MoveId, ServiceName, VersionName
from ebonystream.platform._orders import ROLLOUT_PREFIX
from ebonystream.platform._store import KeyedRecord, Listing
from ebonystream.versionmove import MoveVerdict, VersionMove


class _State(enum.Enum):
    RUNNING = 'running'
    DONE = 'done'
    ROLLED_BACK = 'rolled_back'


STATES_BY_VERDICT: Mapping[MoveVerdict, _State] = MappingProxyType(
    {
        MoveVerdict.RUNNING: _State.RUNNING,
        MoveVerdict.FINISHED: _State.DONE,
        MoveVerdict.TAKEN_BACK: _State.ROLLED_BACK,
    }
)
VERDICTS_BY_STATE: Mapping[_State, MoveVerdict] = MappingProxyType(
    {state: verdict for verdict, state in STATES_BY_VERDICT.items()}
)


class _Status(msgspec.Struct):
    """One report; `order` is the system's own, to tell orders apart."""

    state: _State
    target_version: str
    order: str = ''


def encode_move_status(move: VersionMove) -> KeyedRecord:
    """Spell the report of a move as it stands.

    Args:
        move: The move.
    """
    status = _Status(
        state=STATES_BY_VERDICT[move.verdict],
        target_version=VersionName(move.version),
        order=move.id,
    )
    return KeyedRecord(
        f'{ROLLOUT_PREFIX}{move.service}', msgspec.json.encode(status)
    )


def find_reported_verdict(
    listing: Listing, service: ServiceName, order: MoveId
) -> MoveVerdict | None:
    """Find what was reported of one order; None where nothing was.

    Args:
        listing: The newest reports.
        service: The service that moves.
        order: The order.
    """
    for record in listing.records:
        if record.key != f'{ROLLOUT_PREFIX}{service}':
            continue
        try:
            status = msgspec.json.decode(record.content, type=_Status)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return None
        return (
            VERDICTS_BY_STATE[status.state] if status.order == order else None
        )
    return None
