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
from ebonystream._validation import (
    make_range_validator,
    validate_duration,
    validate_endpoint,
    validate_name,
    validate_token,
)


class EntryState(enum.Enum):
    """The state that a backend server registers for itself."""

    SERVING = 'serving'
    LEAVING = 'leaving'


MAX_SLOTS = 65_536
MAX_START_MS = 100_000_000_000_000


@attrs.frozen(kw_only=True)
class ServerEntry:
    """The latest entry of one backend server.

    An entry with an attribute that is out of range raises `ValueError`.

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

    id: ServerId = attrs.field(validator=validate_token)
    at: ServerAddress = attrs.field(validator=validate_endpoint)
    service: ServiceName = attrs.field(validator=validate_name)
    zone: ZoneName = attrs.field(validator=validate_name)
    version: VersionName = attrs.field(validator=validate_name)
    slots: int = attrs.field(validator=make_range_validator(1, MAX_SLOTS))
    state: EntryState
    cold: Seconds = attrs.field(validator=validate_duration)
    started: EpochMs | None = attrs.field(
        validator=attrs.validators.optional(
            make_range_validator(0, MAX_START_MS)
        )
    )

    def is_same_run(self, other: 'ServerEntry') -> bool:
        """Return whether another entry is of the same run of the server.

        Args:
            other: An entry with the same id.
        """
        return self.started == other.started and self.at == other.at


@attrs.frozen
class EntriesListing:
    """A complete listing of the entries in the store.

    Attributes:
        entries: The entries of all servers.
        unreadable: Ids of the servers whose entry could not be read: it says
            nothing about the server.
    """

    entries: tuple[ServerEntry, ...]
    unreadable: frozenset[ServerId] = frozenset()
