"""Messages between entry hosts, encoded as MessagePack arrays.

Heartbeats are sent by themselves, requests and responses in an envelope with
their sender. See `_frame` for the encoding.
"""

import msgspec

from ebonystream._ids import (
    BootId,
    CorrelationId,
    CustomerId,
    HostId,
    Incarnation,
    MoveId,
    Offset,
    RouteName,
    ServerId,
    StreamName,
    VersionName,
    ZoneName,
)
from ebonystream.peer._slots import SlotClaim


class ServerLoad(msgspec.Struct, frozen=True, array_like=True):
    """Calls in flight and slots of one host at one backend server.

    Attributes:
        server: Name of the backend server.
        in_flight: Number of calls of the host in flight at the server.
        boot: Boot id of the server in its latest response; None if unknown.
        held_slots: Slots of the server that the host holds.
        known_slots: Latest claims of all hosts on slots of the server, as
            known to the home of the server; sent by that host only.
    """

    server: ServerId
    in_flight: int
    boot: BootId | None = None
    held_slots: tuple[SlotClaim, ...] = ()
    known_slots: tuple[SlotClaim, ...] = ()


class StoppedVersion(msgspec.Struct, frozen=True, array_like=True):
    """Verdict of one host that a version is bad, before the log records it.

    Attributes:
        move: Identifier of the move to the version.
        version: Name of the version.
        reason: What the host observed.
    """

    move: MoveId
    version: VersionName
    reason: str


class ServerStanding(msgspec.Struct, frozen=True, array_like=True):
    """Phase of a backend server, as seen by one host.

    Attributes:
        server: Name of the backend server.
        epoch: Number of cold starts of the server.
        phase: Phase of the server in that epoch.
        boot: Boot id of the server in that epoch; None if unknown.
    """

    server: ServerId
    epoch: int
    phase: str
    boot: BootId | None = None


class VersionEvidence(msgspec.Struct, frozen=True, array_like=True):
    """All measurements of one host for one route of a version move.

    Attributes:
        move: Identifier of the move.
        route: Name of the route.
        groups: Number of attempts on the new version that were compared.
        failure_gains: Log gains of the bets that the version fails more often.
        latency_gains: Log gains of the bets that the version is slower.
    """

    move: MoveId
    route: RouteName
    groups: int
    failure_gains: tuple[float, ...]
    latency_gains: tuple[float, ...]


class Heartbeat(msgspec.Struct, tag='h', frozen=True, array_like=True):
    """State of one host, sent periodically to each peer.

    Attributes:
        host: Name of the host.
        incarnation: Incarnation of the host.
        zone: Availability zone of the host.
        sequence: Sequence number of the heartbeat within the incarnation.
        leaving: Whether the host is shutting down.
        control_next: Offset of the next record of the control stream that the
            host will apply.
        keys_next: Offset of the next record of the keys stream that the host
            will apply.
        recipient: Incarnation of the receiver whose heartbeat the host
            received last; None if it received none.
        echo: Highest sequence number received from that incarnation.
        loads: Its calls in flight and slots at backend servers; empty if only
            their revision is sent.
        zones_in_flight: Number of its calls in flight in each zone.
        brakes: Version moves that it stopped.
        suspects: Encoded reports of requests suspected of crashing backend
            servers.
        standings: Phases of some backend servers, as the host sees them.
        evidence: Its measurements of version moves.
        wants: Starting backend servers that it has calls for.
        demands: Calls that it receives per second, by customer.
        revision: Revision number of the loads within the incarnation; 0 if
            they have none.
        known_revision: Revision of the loads of the recipient that the host
            has; None if it has none.
        has_loads: Whether the loads are sent, and not their revision alone.
    """

    host: HostId
    incarnation: Incarnation
    zone: ZoneName
    sequence: int
    leaving: bool = False
    control_next: Offset = Offset(0)
    keys_next: Offset = Offset(0)
    recipient: Incarnation | None = None
    echo: int | None = None
    loads: tuple[ServerLoad, ...] = ()
    zones_in_flight: dict[ZoneName, int] = msgspec.field(default_factory=dict)
    brakes: tuple[StoppedVersion, ...] = ()
    suspects: tuple[str, ...] = ()
    standings: tuple[ServerStanding, ...] = ()
    evidence: tuple[VersionEvidence, ...] = ()
    wants: tuple[ServerId, ...] = ()
    demands: dict[CustomerId, float] = msgspec.field(default_factory=dict)
    revision: int = 0
    known_revision: int | None = None
    has_loads: bool = True


class ForwardedCall(msgspec.Struct, tag='call', frozen=True, array_like=True):
    """A call that must run at most once, forwarded to the owner of its key.

    Attributes:
        correlation: Correlation id, repeated in the response.
        owner: Incarnation that owns the key; any other drops the call.
        customer: Customer that sent the call.
        route: Name of the route in the plan.
        service: Name of the service that the call is for.
        method: HTTP method.
        target: Path with its query.
        headers: End-to-end header fields.
        body: Complete body.
        remaining_ms: Time left until the deadline, in milliseconds.
        key: Idempotency key.
    """

    correlation: CorrelationId
    owner: Incarnation
    customer: str
    route: str
    service: str
    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    remaining_ms: int
    key: str


class ForwardedResponse(
    msgspec.Struct, tag='answer', frozen=True, array_like=True
):
    """Response of the owner of a key to a forwarded call.

    Attributes:
        correlation: Correlation id of the call.
        outcome: Outcome of the call.
        status: HTTP status.
        headers: End-to-end header fields.
        body: Complete body.
        error: Kind of error if the response is not from a backend server.
    """

    correlation: CorrelationId
    outcome: str
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    error: str | None = None


class SnapshotRequest(
    msgspec.Struct, tag='fetch', frozen=True, array_like=True
):
    """Request for the state that a peer has built from a stream.

    Attributes:
        correlation: Correlation id, repeated in the response.
        stream: Name of the stream.
    """

    correlation: CorrelationId
    stream: StreamName


class SnapshotResponse(
    msgspec.Struct, tag='snapshot', frozen=True, array_like=True
):
    """State that a host has built from a stream.

    Attributes:
        correlation: Correlation id of the request.
        next_offset: Offset of the next record to apply to the state.
        state: State, as encoded by its aggregate.
    """

    correlation: CorrelationId
    next_offset: Offset
    state: bytes


PeerRequest = ForwardedCall | SnapshotRequest
"""All requests between entry hosts."""

PeerResponse = ForwardedResponse | SnapshotResponse
"""All responses between entry hosts."""
