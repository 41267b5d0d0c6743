"""Decoding of the heartbeats that backend servers write to the store."""

import re
from collections.abc import Mapping
from types import MappingProxyType
from typing import Annotated

import msgspec

from ebonystream._address import ServerAddress
from ebonystream._ids import (
    EpochMs,
    ServerId,
    ServiceName,
    VersionName,
    ZoneName,
)
from ebonystream._validation import MAX_PORT, is_host_address, quote
from ebonystream.platform._durations import parse_duration
from ebonystream.platform._errors import (
    FormatError,
    decode_json,
    reject_invalid_values,
)
from ebonystream.platform._store_messages import KeyedRecord
from ebonystream.roster import EntryState, ServerEntry

ENTRY_STATES: Mapping[str, EntryState] = MappingProxyType(
    {'ready': EntryState.SERVING, 'draining': EntryState.LEAVING}
)


MAX_SEQUENCE = 9_007_199_254_740_991
PORT = re.compile('[1-9][0-9]{0,4}')


class _Heartbeat(msgspec.Struct):
    """One heartbeat; `born` is the server's start in Unix milliseconds."""

    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    cold_remaining: str
    sequence: Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]
    born: int | None = None


def decode_server(record: KeyedRecord) -> ServerEntry:
    """Decode the entry of one backend server.

    Args:
        record: The newest record whose key is the id of the server.

    Raises:
        FormatError: If the record is not a valid heartbeat.
    """
    heartbeat = decode_json(record.content, _Heartbeat)
    if heartbeat.state not in ENTRY_STATES:
        raise FormatError(f'unknown state of server: {quote(heartbeat.state)}')
    with reject_invalid_values():
        return ServerEntry(
            id=ServerId(record.key),
            at=parse_address(heartbeat.address),
            service=ServiceName(heartbeat.service),
            zone=ZoneName(heartbeat.zone),
            version=VersionName(heartbeat.version),
            slots=heartbeat.slots,
            state=ENTRY_STATES[heartbeat.state],
            cold=parse_duration(heartbeat.cold_remaining),
            started=None if heartbeat.born is None else EpochMs(heartbeat.born),
        )


def parse_address(text: str) -> ServerAddress:
    """Parse an IP address with a port.

    Args:
        text: The address, such as `10.128.0.9:8080`.

    Raises:
        FormatError: If the text has no address or no numeric port.
    """
    address, _, port = text.rpartition(':')
    if not (is_host_address(address) and PORT.fullmatch(port)):
        raise FormatError(f'not an address: {quote(text)}')
    if int(port) > MAX_PORT:
        raise FormatError(f'no port above {MAX_PORT}: {quote(text)}')
    return ServerAddress(address, int(port))
