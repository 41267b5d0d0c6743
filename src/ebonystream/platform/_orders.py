"""The orders that operators write: zones out and version moves."""

import msgspec

from ebonystream._ids import MoveId, ServiceName, VersionName, ZoneName
from ebonystream.orders import VersionOrder
from ebonystream.platform._durations import parse_duration
from ebonystream.platform._errors import decode_json
from ebonystream.platform._store import KeyedRecord

ROLLOUT_PREFIX = 'rollout/'
EVACUATE_PREFIX = 'evacuate/'


class _Rollout(msgspec.Struct):
    service: str
    target_version: str
    duration: str


def parse_evacuated_zone(record: KeyedRecord) -> ZoneName | None:
    """Read which zone an order takes out; None where it is another order.

    Args:
        record: A record that an operator wrote.
    """
    if record.key.startswith(EVACUATE_PREFIX):
        return ZoneName(record.key.removeprefix(EVACUATE_PREFIX))
    return None


def decode_version_order(record: KeyedRecord) -> VersionOrder:
    """Read an order to move a service to a version.

    Args:
        record: A record below `ROLLOUT_PREFIX`.

    Raises:
        FormatError: It can't be read.
    """
    sent = decode_json(record.content, _Rollout)
    return VersionOrder(
        id=MoveId(f'{record.key}@{record.offset}'),
        service=ServiceName(sent.service),
        version=VersionName(sent.target_version),
        within=parse_duration(sent.duration),
    )
