"""The entries that backend servers write of themselves."""

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


class _Beat(msgspec.Struct):
    """One heartbeat; `born` is the Unix millisecond of the server's start."""

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
    """Read the entry of one backend server.

    Args:
        record: The newest record under its name.

    Raises:
        FormatError: The record names no server that could be used.
    """
    beat = decode_json(record.content, _Beat)
    if beat.state not in ENTRY_STATES:
        raise FormatError(f'state {beat.state!r}')
    return ServerEntry(
        id=ServerId(record.key),
        at=parse_address(beat.address),
        service=ServiceName(beat.service),
        zone=ZoneName(beat.zone),
        version=VersionName(beat.version),
        slots=beat.slots,
        state=ENTRY_STATES[beat.state],
        cold=parse_duration(beat.cold_remaining),
        started=None if beat.born is None else EpochMs(beat.born),
    )


def parse_address(text: str) -> ServerAddress:
    """Read an IP number and its port.

    Args:
        text: Such as `10.128.0.9:8080`.

    Raises:
        FormatError: It is none.
    """
    address, _, port = text.rpartition(':')
    if not address or not port.isdigit():
        raise FormatError(f'not an address: {text!r}')
    return ServerAddress(address, int(port))
