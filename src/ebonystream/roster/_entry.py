"""Entries that backend servers register in the platform's store."""

import enum

import attrs

from ebonystream._address import ServerAddress
from ebonystream._ids import (
    EpochMs,
    Seconds,
    ServerId,
    ServiceName,
    VersionName,
    ZoneName,
)


class EntryState(enum.Enum):
    """The state that a backend server registers for itself."""

    SERVING = 'serving'
    LEAVING = 'leaving'


@attrs.frozen(kw_only=True)
class ServerEntry:
    """The latest entry of one backend server.

    Attributes:
        id: Id of the server.
        at: Address that it listens on.
        service: Service that it provides.
        zone: Availability zone that it runs in.
        version: Version of the service that it runs.
        slots: Number of requests that it handles concurrently.
        state: Whether it is serving or leaving.
        cold: Remaining warm-up time, in seconds.
        started: When this run of the server started; None if not reported.
    """

    id: ServerId
    at: ServerAddress
    service: ServiceName
    zone: ZoneName
    version: VersionName
    slots: int
    state: EntryState
    cold: Seconds
    started: EpochMs | None
