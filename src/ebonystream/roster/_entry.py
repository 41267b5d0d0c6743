"""What a backend server says of itself in the platform's store."""

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
    """What a backend server says that it does."""

    SERVING = 'serving'
    LEAVING = 'leaving'


@attrs.frozen(kw_only=True)
class ServerEntry:
    """The newest entry of one backend server.

    Attributes:
        id: Its name.
        at: Where it listens.
        service: The service that it answers for.
        zone: The availability zone it stands in.
        version: The version it runs.
        slots: Requests that it works on at a time.
        state: What it says that it does.
        cold: How much longer it is cold, in seconds.
        started: When this run of it started, where it says so.
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
