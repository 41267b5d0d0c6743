"""Messages between entry hosts, as MessagePack arrays.

Heartbeats travel as they are; a request or an answer travels in an envelope
that names its sender. See `_frame` for what stands around them.
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
    """What one host does at one backend server.

    Attributes:
        server: The backend server.
        in_flight: Calls of the host that the server has in hand.
        boot: The run of the server that answered last, if known.
        held: The slots of the server that the host holds.
        known: The slots as the home of the server last knew them, from there
            only.
    """

    server: ServerId
    in_flight: int
    boot: BootId | None = None
    held: tuple[SlotClaim, ...] = ()
    known: tuple[SlotClaim, ...] = ()


class VersionBrake(msgspec.Struct, frozen=True, array_like=True):
    """One host's verdict that a version is bad, before the log has it.

    Attributes:
        move: The move that brought the version.
        version: The version.
        reason: What was seen.
    """

    move: MoveId
    version: VersionName
    reason: str


class ServerStanding(msgspec.Struct, frozen=True, array_like=True):
    """How far one host would use a backend server.

    Attributes:
        server: The backend server.
        epoch: Counts the cold starts of the server.
        phase: Its phase in that epoch.
        boot: The run of the server that the epoch is about, if known.
    """

    server: ServerId
    epoch: int
    phase: str
    boot: BootId | None = None


class VersionEvidence(msgspec.Struct, frozen=True, array_like=True):
    """What one host has seen of one route of a version move, all of it.

    Attributes:
        move: The move.
        route: The route.
        groups: How many attempts of the new version were compared.
        failures: For each bet what it gained on "fails more often".
        latency: For each bet what it gained on "is slower".
    """

    move: MoveId
    route: RouteName
    groups: int
    failures: tuple[float, ...]
    latency: tuple[float, ...]


class Heartbeat(msgspec.Struct, tag='h', frozen=True, array_like=True):
    """What each host tells each peer, again and again.

    Attributes:
        host: Who sends it.
        incarnation: Which run of the host.
        zone: The zone that the host stands in.
        sequence: Counts the heartbeats of this incarnation.
        leaving: Whether the host is stopping.
        control_next: The next offset of the control stream it will fold.
        keys_next: The next offset of the keys stream it will fold.
        recipient: The incarnation of the receiver that it heard, if any.
        heard: The newest sequence it heard from that incarnation.
        loads: What it does at backend servers; left out where not whole.
        zones_in_flight: Calls that it has in hand in each zone.
        brakes: Versions that it stopped.
        suspects: Fingerprints of requests that it saw end a server.
        standings: How far it would use backend servers, some of them.
        evidence: What it has seen of version moves.
        wants: Starting servers that it has calls for.
        demands: Calls a second that come to it, by customer.
        revision: Numbers the loads within the incarnation; 0 for none.
        known: The revision that it knows of the recipient, if any.
        whole: Whether the loads are told, and not by their revision alone.
    """

    host: HostId
    incarnation: Incarnation
    zone: ZoneName
    sequence: int
    leaving: bool = False
    control_next: Offset = Offset(0)
    keys_next: Offset = Offset(0)
    recipient: Incarnation | None = None
    heard: int | None = None
    loads: tuple[ServerLoad, ...] = ()
    zones_in_flight: dict[ZoneName, int] = msgspec.field(default_factory=dict)
    brakes: tuple[VersionBrake, ...] = ()
    suspects: tuple[str, ...] = ()
    standings: tuple[ServerStanding, ...] = ()
    evidence: tuple[VersionEvidence, ...] = ()
    wants: tuple[ServerId, ...] = ()
    demands: dict[CustomerId, float] = msgspec.field(default_factory=dict)
    revision: int = 0
    known: int | None = None
    whole: bool = True


class ForwardCall(msgspec.Struct, tag='call', frozen=True, array_like=True):
    """A call that must run once, on its way to the owner of its key.

    Attributes:
        correlation: Pairs the answer with it.
        owner: The incarnation that owns the key; any other drops it.
        customer: Who sent the call.
        route: The route of the plan.
        service: The service that answers it.
        method: The HTTP method.
        target: The path with its query.
        headers: End-to-end header fields.
        body: The whole body.
        remaining_ms: What is left of the deadline.
        key: The idempotency key.
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


class ForwardAnswer(msgspec.Struct, tag='answer', frozen=True, array_like=True):
    """The owner's answer to a forwarded call.

    Attributes:
        correlation: The call's own.
        outcome: What became of the call.
        status: The HTTP status.
        headers: End-to-end header fields.
        body: The whole body.
        error: The kind of error where the system itself answers.
    """

    correlation: CorrelationId
    outcome: str
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    error: str | None = None


class FetchSnapshot(msgspec.Struct, tag='fetch', frozen=True, array_like=True):
    """Asks a peer for what its fold of a stream came to.

    Attributes:
        correlation: Pairs the answer with it.
        stream: The stream.
    """

    correlation: CorrelationId
    stream: StreamName


class Snapshot(msgspec.Struct, tag='snapshot', frozen=True, array_like=True):
    """What a fold came to.

    Attributes:
        correlation: The request's own.
        next: The next offset that the fold will take.
        state: The state, in the spelling of its aggregate.
    """

    correlation: CorrelationId
    next: Offset
    state: bytes


PeerRequest = ForwardCall | FetchSnapshot
"""The closed list of requests between entry hosts."""

PeerAnswer = ForwardAnswer | Snapshot
"""The closed list of answers between entry hosts."""
