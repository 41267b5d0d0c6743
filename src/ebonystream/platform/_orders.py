"""Decoding of operators' orders: zone evacuations and version moves."""

import msgspec

from ebonystream._ids import MoveId, ServiceName, VersionName, ZoneName
from ebonystream.orders import VersionOrder
from ebonystream.platform._durations import parse_duration
from ebonystream.platform._errors import decode_json, reject_invalid_values
from ebonystream.platform._store_messages import KeyedRecord

ROLLOUT_PREFIX = 'rollout/'
EVACUATE_PREFIX = 'evacuate/'


class _Rollout(msgspec.Struct):
    service: str
    target_version: str
    duration: str


def parse_evacuated_zone(record: KeyedRecord) -> ZoneName | None:
    """Return the zone that an order evacuates; None for any other order.

    Only the key of the record matters; its content is ignored.

    Args:
        record: A record of the operators' topic.
    """
    if record.key.startswith(EVACUATE_PREFIX):
        return ZoneName(record.key.removeprefix(EVACUATE_PREFIX))
    return None


def decode_version_order(record: KeyedRecord) -> VersionOrder:
    """Decode an order to move a service to another version.

    Args:
        record: A record whose key starts with `ROLLOUT_PREFIX`.

    Raises:
        FormatError: If the content of the record is invalid.
    """
    rollout = decode_json(record.content, _Rollout)
    with reject_invalid_values():
        return VersionOrder(
            id=MoveId(f'{record.key}@{record.offset}'),
            service=ServiceName(rollout.service),
            version=VersionName(rollout.target_version),
            within=parse_duration(rollout.duration),
        )
