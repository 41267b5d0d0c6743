"""Identifiers and units that all aggregates share.

Each identifier is a type of its own, so that the type checker rejects a host
where a backend server is expected. Types of times state their unit.
"""

from typing import NewType

CustomerId = NewType('CustomerId', str)
"""Name of a customer, as written in the operators' lists."""

PlanName = NewType('PlanName', str)
"""Name of a plan, as written in the operators' lists."""

RouteName = NewType('RouteName', str)
"""Name of a route that a plan may use."""

ServiceName = NewType('ServiceName', str)
"""Name of a service: a set of backend servers that serve the same routes."""

ServerId = NewType('ServerId', str)
"""Name of a backend server."""

SlotNumber = NewType('SlotNumber', int)
"""Index of a slot for one concurrent call on a backend server, from 0."""

BootId = NewType('BootId', str)
"""Identifies one run of a backend server; each restart has a new one."""

VersionName = NewType('VersionName', str)
"""Name of the version of a service that a backend server runs."""

ZoneName = NewType('ZoneName', str)
"""Name of an availability zone."""

HostId = NewType('HostId', str)
"""Name of an entry host, from its settings."""

Incarnation = NewType('Incarnation', str)
"""Identifies one run of an entry host; each restart has a new one."""

MoveId = NewType('MoveId', str)
"""Identifies a move that operators requested."""

RequestId = NewType('RequestId', str)
"""Identifies a request of an operator or host to append a control record."""

AttemptId = NewType('AttemptId', str)
"""Identifies an attempt of a caller; each of its retries has a new one."""

IdempotencyKey = NewType('IdempotencyKey', str)
"""Idempotency key of a caller: a UUIDv7 in canonical form."""

SliceNumber = NewType('SliceNumber', int)
"""Index of a slice of the key space; its owner runs keys hashed to it."""

Offset = NewType('Offset', int)
"""Position of a record in a stream of the log service, from 0."""

StoreEra = NewType('StoreEra', int)
"""Number of times that the store has returned from an older copy. Offsets of
different eras can't be compared."""

StreamName = NewType('StreamName', str)
"""Name of a stream of the log service."""

ConfigurationVersion = NewType('ConfigurationVersion', int)
"""Number of accepted publishes of the two lists; 0 before the first."""

CorrelationId = NewType('CorrelationId', int)
"""Matches the response of a peer to its request."""

Monotonic = NewType('Monotonic', float)
"""Time of the monotonic clock of this process, in seconds."""

Seconds = NewType('Seconds', float)
"""A duration in seconds."""

WorkspaceName = NewType('WorkspaceName', str)
"""Name of a workspace of clients."""

KeyDigest = NewType('KeyDigest', bytes)
"""Digest of the key of a workspace, which is never kept itself."""

BootTime = NewType('BootTime', float)
"""Time of a clock that also counts while the machine is suspended, in
seconds."""

EpochMs = NewType('EpochMs', int)
"""Milliseconds since the Unix epoch, as in the timestamp of a UUIDv7."""

WindowNumber = NewType('WindowNumber', int)
"""Number of a reporting window since the Unix epoch."""

FencingToken = NewType('FencingToken', int)
"""Orders the holders of a duty: a later holder has a higher token."""
