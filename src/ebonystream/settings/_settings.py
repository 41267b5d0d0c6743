"""Schema of the settings file, with units, defaults and ranges."""

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
"""A TCP port; with 0 the operating system selects one."""

Milliseconds = Annotated[int, Field(ge=1, le=3_600_000)]
"""A duration from 1 ms to 1 hour."""

Name = Annotated[str, Field(min_length=1, max_length=128)]
"""A name written by operators."""

CLAIM_REACH_MS = 1_020_000
"""How far the time spans in a claim of key slices may reach before and after
the time of its record, with a margin for clock differences. The log must
retain records for longer than this plus the key window."""

MEMORY_PER_BODY_BYTE = 1.25
"""Memory for callers that one request needs, relative to its body."""


class Section(BaseModel):
    """One section of the settings; rejects unknown keys."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class HostSettings(Section):
    """Identity of this entry host.

    Attributes:
        id: Name of the host, as in the platform's host list.
        zone: Availability zone of the host.
        address: IP address at which peers reach the host.
    """

    id: Annotated[HostId, Field(min_length=1, max_length=128)]
    zone: Annotated[ZoneName, Field(min_length=1, max_length=128)]
    address: IPvAnyAddress


class CallerSettings(Section):
    """Address for callers, and limits on their connections and requests.

    Attributes:
        address: IP address to listen on.
        port: TCP port to listen on.
        max_connections: Maximum number of open connections from callers; half
            of the descriptors of the process if that is less.
        max_memory_bytes: Bytes that the host may hold for all callers together.
        max_head_bytes: Maximum size of the target and the header fields.
        max_body_bytes: Maximum size of a request body.
        receive_timeout_ms: Maximum time to receive one request.
        idle_timeout_ms: How long a connection may wait for a request.
        drain_grace_ms: How long connections are still accepted and kept open
            after the start of shutdown.
    """

    address: IPvAnyAddress
    port: Port
    max_connections: Annotated[int, Field(ge=1, le=1_000_000)] = 4096
    max_head_bytes: Annotated[int, Field(ge=256, le=1_048_576)] = 16_384
    max_body_bytes: Annotated[int, Field(ge=0, le=1_073_741_824)] = 1_048_576
    max_memory_bytes: Annotated[int, Field(ge=1_048_576)] = 50_331_648
    receive_timeout_ms: Milliseconds = 5000
    idle_timeout_ms: Milliseconds = 75_000
    drain_grace_ms: Annotated[int, Field(ge=0, le=3_600_000)] = 1000

    @model_validator(mode='after')
    def check_memory(self) -> Self:
        """Reject a bound on the memory that one request does not fit into."""
        if self.max_memory_bytes < MEMORY_PER_BODY_BYTE * self.max_body_bytes:
            raise ValueError('max_memory_bytes is too small for one body')
        return self


class PeerSettings(Section):
    """Communication between entry hosts.

    Attributes:
        port: TCP port on which this host listens for its peers.
        public_key: CURVE public key that all hosts share, encoded as Z85.
        secret_key: CURVE secret key that all hosts share, encoded as Z85.
        heartbeat_ms: Interval between two heartbeats to each peer.
        unreachable_after_ms: Time without messages after which this host
            considers a peer unreachable.
        heartbeats_per_second: Maximum rate of heartbeats to all peers
            together; with many peers, each receives them less often.
        max_message_bytes: Maximum size of a message; longer ones are dropped.
        max_requests: Maximum number of peers' requests handled concurrently.
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
    def check_unreachable_after(self) -> Self:
        """Reject a timeout that expires after a single lost heartbeat."""
        if self.unreachable_after_ms < 2 * self.heartbeat_ms:
            raise ValueError(
                'unreachable_after_ms must be at least twice heartbeat_ms'
            )
        return self


class AdminSettings(Section):
    """The administration API.

    Attributes:
        address: IP address to listen on.
        port: TCP port to listen on.
        key: Key that every request must carry; without one, the address must
            be a loopback address.
        max_body_bytes: Maximum size of a request body.
        max_bodies: Maximum number of requests with a body at a time.
    """

    address: IPvAnyAddress
    port: Port
    key: Annotated[str, Field(min_length=16, max_length=256)] | None = None
    max_body_bytes: Annotated[int, Field(ge=1024, le=1_073_741_824)] = 4_194_304
    max_bodies: Annotated[int, Field(ge=1, le=1024)] = 8

    @model_validator(mode='after')
    def check_key(self) -> Self:
        """Reject an address other than loopback without a key."""
        if self.key is None and not self.address.is_loopback:
            raise ValueError('key is required where address is not loopback')
        return self


class LogSettings(Section):
    """The platform's log service.

    Attributes:
        url: Base URL, such as ``http://127.0.0.1:7000``.
        control_stream: Name of the stream of the two lists and the moves.
        keys_stream: Name of the stream of key ownership.
        timeout_ms: Timeout of one append or read.
        poll_wait_ms: How long a read at the end of a stream waits for records.
        retention_ms: How long the service retains a record.
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
    """The platform's host list.

    Attributes:
        url: Base URL.
        refresh_ms: Interval between two requests for the list.
        timeout_ms: Timeout of one request.
    """

    url: Annotated[str, Field(pattern='^https?://[^/]+$')]
    refresh_ms: Milliseconds = 1000
    timeout_ms: Milliseconds = 2000


class OwnershipSettings(Section):
    """Ownership of the calls that must be executed at most once.

    Attributes:
        horizon_ms: How far ahead of now a host claims its slices. During an
            outage of the log, at-most-once calls still run for this long; the
            slices of a host that crashed are not served for this long.
        window_ms: How long the outcome of a key is remembered.
        max_bytes: Maximum total size of remembered outcomes.
    """

    horizon_ms: Annotated[int, Field(ge=1000, le=800_000)] = 300_000
    window_ms: Annotated[int, Field(ge=1000, le=86_400_000)] = 600_000
    max_bytes: Annotated[int, Field(ge=1024)] = 67_108_864


class BackendSettings(Section):
    """Limits on the use of backend servers.

    Attributes:
        slots: Number of calls that one backend server executes concurrently.
        queue: Number of calls that may wait at one backend server in addition.
        max_connections: Maximum number of connections from all entry hosts to
            one server.
        connect_timeout_ms: Timeout for opening a connection.
        idle_ms: How long an idle connection is kept open.
        probe_cost_ms: Processing time of a backend server for one probe.
        probe_budget_ms: Processing time of a backend server that probes may
            use in each second.
    """

    slots: Annotated[int, Field(ge=1, le=1024)] = 2
    queue: Annotated[int, Field(ge=0, le=1024)] = 1
    max_connections: Annotated[int, Field(ge=1, le=65_536)] = 220
    connect_timeout_ms: Milliseconds = 500
    idle_ms: Milliseconds = 30_000
    probe_cost_ms: Annotated[float, Field(ge=0, le=1000)] = 6
    probe_budget_ms: Annotated[float, Field(ge=0, le=1000)] = 10


class Settings(Section):
    """All settings of an entry host."""

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
        """Reject a retention time that ends while claims are still in use."""
        needed = self.ownership.window_ms + CLAIM_REACH_MS
        if self.log.retention_ms < needed:
            raise ValueError(
                'log.retention_ms must be at least ownership.window_ms + '
                f'{CLAIM_REACH_MS} = {needed}'
            )
        return self
