"""The shape of the settings file, with units, defaults and ranges."""

from typing import Annotated, Self

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    IPvAnyAddress,
    model_validator,
)

from ebonystream._ids import HostId, StreamName, ZoneName

Port = Annotated[int, Field(ge=0, le=65535)]
"""A TCP port; 0 lets the operating system choose."""

Milliseconds = Annotated[int, Field(ge=1, le=3_600_000)]
"""A length of time from 1 ms to 1 hour."""

Name = Annotated[str, Field(min_length=1, max_length=128)]
"""A name as operators write it."""

CLAIM_REACH_MS = 1_020_000
"""The most that claims of keys reach ahead of and behind their record, with
room for clocks that differ. The log must keep records longer than that and
the key window together."""


class Section(BaseModel):
    """One section of the settings: an unknown key is a fault."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class HostSettings(Section):
    """Who this entry host is.

    Attributes:
        id: The host's name, the same as in the platform's host list.
        zone: The availability zone that the host stands in.
        address: The IP number that peers reach it by.
    """

    id: Annotated[HostId, Field(min_length=1, max_length=128)]
    zone: Annotated[ZoneName, Field(min_length=1, max_length=128)]
    address: IPvAnyAddress


class CallerSettings(Section):
    """Where callers connect, and the limits on what they send."""

    address: IPvAnyAddress
    port: Port
    max_connections: Annotated[int, Field(ge=1, le=1_000_000)] = 4096
    max_head_bytes: Annotated[int, Field(ge=256, le=1_048_576)] = 16_384
    max_body_bytes: Annotated[int, Field(ge=0, le=1_073_741_824)] = 1_048_576
    receive_timeout_ms: Milliseconds = 5000
    idle_timeout_ms: Milliseconds = 75_000
    drain_grace_ms: Annotated[int, Field(ge=0, le=3_600_000)] = 1000


class PeerSettings(Section):
    """How entry hosts reach one another.

    Attributes:
        port: Where this host listens for its peers.
        public_key: The CURVE public key that all hosts share, Z85 spelling.
        secret_key: The CURVE secret key that all hosts share, Z85 spelling.
        heartbeat_ms: The time between two heartbeats to each peer.
        unreachable_after_ms: Silence after which a peer counts as
            unreachable from here.
        heartbeats_per_second: The most heartbeats that are sent to all peers
            together; among many peers each gets them less often.
        max_message_bytes: Longer messages are dropped.
        max_requests: Requests of peers that are answered at the same time.
    """

    port: Port
    public_key: Annotated[str, Field(min_length=40, max_length=40)]
    secret_key: Annotated[str, Field(min_length=40, max_length=40)]
    heartbeat_ms: Milliseconds = 250
    unreachable_after_ms: Milliseconds = 1500
    heartbeats_per_second: Annotated[int, Field(ge=1, le=1000)] = 32
    max_message_bytes: Annotated[int, Field(ge=1024, le=1_073_741_824)] = (
        4_194_304
    )
    max_requests: Annotated[int, Field(ge=1, le=65_536)] = 1024

    @model_validator(mode='after')
    def check_silence(self) -> Self:
        """Refuse a silence that one lost heartbeat would fill."""
        if self.unreachable_after_ms < 2 * self.heartbeat_ms:
            raise ValueError(
                'unreachable_after_ms must be at least twice heartbeat_ms'
            )
        return self


class AdminSettings(Section):
    """The administration API; without a key it stays on loopback."""

    address: IPvAnyAddress
    port: Port
    key: Annotated[str, Field(min_length=16, max_length=256)] | None = None

    @model_validator(mode='after')
    def check_key(self) -> Self:
        """Refuse to listen beyond loopback without a key."""
        if self.key is None and not self.address.is_loopback:
            raise ValueError('key is required where address is not loopback')
        return self


class LogSettings(Section):
    """The platform's log service.

    Attributes:
        url: The base address, such as ``http://127.0.0.1:7000``.
        control_stream: The stream of the two lists and the moves.
        keys_stream: The stream of key ownership.
        timeout_ms: How long one append or read may take.
        poll_wait_ms: How long a read at the end of a stream waits.
        retention_ms: How long the service keeps a record.
    """

    url: Annotated[str, Field(pattern='^https?://[^/]+$')]
    control_stream: Annotated[StreamName, Field(pattern='^[a-z0-9-]+$')] = (
        StreamName('control')
    )
    keys_stream: Annotated[StreamName, Field(pattern='^[a-z0-9-]+$')] = (
        StreamName('keys')
    )
    timeout_ms: Milliseconds = 2000
    poll_wait_ms: Milliseconds = 5000
    retention_ms: Annotated[int, Field(ge=60_000)] = 86_400_000


class HostListSettings(Section):
    """The platform's host list."""

    url: Annotated[str, Field(pattern='^https?://[^/]+$')]
    refresh_ms: Milliseconds = 1000
    timeout_ms: Milliseconds = 2000


class OwnershipSettings(Section):
    """Who runs the calls that must run once.

    Attributes:
        horizon_ms: How far ahead of now a host claims its slices. Calls that
            must run once go on this long into an outage of the log, and the
            slices of a host that died stay unserved this long.
        window_ms: How long the outcome of a key is remembered.
        max_bytes: The most that remembered outcomes may take together.
    """

    horizon_ms: Annotated[int, Field(ge=1000, le=800_000)] = 300_000
    window_ms: Annotated[int, Field(ge=1000, le=86_400_000)] = 600_000
    max_bytes: Annotated[int, Field(ge=1024)] = 67_108_864


class BackendSettings(Section):
    """How backend servers are used.

    Attributes:
        slots: Calls that one backend server works on at the same time.
        queue: Calls that may wait at one backend server beyond its slots.
        max_connections: Connections of all entry hosts to one server.
        connect_timeout_ms: How long opening a connection may take.
        idle_ms: How long an unused connection is kept.
        probe_cost_ms: Time of a backend server that one probe costs.
        probe_budget_ms: Time of a backend server that probes may cost in
            each second.
    """

    slots: Annotated[int, Field(ge=1, le=1024)] = 2
    queue: Annotated[int, Field(ge=0, le=1024)] = 1
    max_connections: Annotated[int, Field(ge=1, le=65_536)] = 220
    connect_timeout_ms: Milliseconds = 500
    idle_ms: Milliseconds = 30_000
    probe_cost_ms: Annotated[float, Field(ge=0, le=1000)] = 6
    probe_budget_ms: Annotated[float, Field(ge=0, le=1000)] = 10


class Settings(Section):
    """All settings of one entry host."""

    host: HostSettings
    callers: CallerSettings
    peers: PeerSettings
    admin: AdminSettings
    log: LogSettings
    host_list: HostListSettings
    ownership: OwnershipSettings = OwnershipSettings()
    backends: BackendSettings = BackendSettings()

    @model_validator(mode='after')
    def check_retention(self) -> Self:
        """Refuse a retention that forgets grants which are still in use."""
        needed = self.ownership.window_ms + CLAIM_REACH_MS
        if self.log.retention_ms < needed:
            raise ValueError(
                'log.retention_ms must be at least ownership.window_ms + '
                f'{CLAIM_REACH_MS} = {needed}'
            )
        return self
