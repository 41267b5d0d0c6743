"""Decoding of the heartbeats that backend servers write to the store."""

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
from ebonystream.platform._durations import parse_duration
from ebonystream.platform._errors import FormatError, decode_json
from ebonystream.platform._store import KeyedRecord
from ebonystream.roster import EntryState, ServerEntry

ENTRY_STATES: Mapping[str, EntryState] = MappingProxyType(
    {'ready': EntryState.SERVING, 'draining': EntryState.LEAVING}
)


class _Heartbeat(msgspec.Struct):
    """One heartbeat; `born` is the server's start in Unix milliseconds."""

    service: str
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: str
    cold_remaining: str
    sequence: int
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
        raise FormatError(f'unknown state of server: {heartbeat.state!r}')
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
    if not address or not port.isdigit():
        raise FormatError(f'not an address: {text!r}')
    return ServerAddress(address, int(port))
