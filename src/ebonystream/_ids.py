"""Identifiers and units that every aggregate shares.

Each identifier is its own type, so that the type checker refuses a host where
a backend server is meant. Times and sizes carry their unit in the type's name.
"""

from typing import NewType

CustomerId = NewType('CustomerId', str)
"""Names a customer, as the operators' list of plans spells it."""

PlanName = NewType('PlanName', str)
"""Names a plan, as the operators' lists spell it."""

RouteName = NewType('RouteName', str)
"""Names one route that a plan may use."""

ServiceName = NewType('ServiceName', str)
"""Names a service: a set of backend servers that answer the same routes."""

ServerId = NewType('ServerId', str)
"""Names one backend server."""

SlotNumber = NewType('SlotNumber', int)
"""One of the calls that a backend server works on at a time, from 0."""

BootId = NewType('BootId', str)
"""Names one run of a backend server; a restart brings a new one."""

VersionName = NewType('VersionName', str)
"""Names the version of a service that a backend server runs."""

ZoneName = NewType('ZoneName', str)
"""Names an availability zone."""

HostId = NewType('HostId', str)
"""Names an entry host, from its settings."""

Incarnation = NewType('Incarnation', str)
"""Names one run of an entry host; a restart brings a new one."""

MoveId = NewType('MoveId', str)
"""Names one move that operators asked for."""

RequestId = NewType('RequestId', str)
"""Names one record that operators or hosts ask the control stream to take."""

AttemptId = NewType('AttemptId', str)
"""Names one attempt of a caller; each of its retries has another one."""

IdempotencyKey = NewType('IdempotencyKey', str)
"""The canonical spelling of a caller's UUIDv7 idempotency key."""

SliceNumber = NewType('SliceNumber', int)
"""One slice of the key space; its owner runs the keys that hash to it."""

Offset = NewType('Offset', int)
"""The place of a record in one stream of the log service, from 0."""

StreamName = NewType('StreamName', str)
"""Names one stream of the log service."""

ConfigurationVersion = NewType('ConfigurationVersion', int)
"""Counts the accepted publishes of the two lists, from 0 for none."""

CorrelationId = NewType('CorrelationId', int)
"""Pairs a peer's answer with the request that it belongs to."""

Monotonic = NewType('Monotonic', float)
"""Seconds on the monotonic clock of this process."""

Seconds = NewType('Seconds', float)
"""A length of time, in seconds."""

EpochMs = NewType('EpochMs', int)
"""Milliseconds since the Unix epoch, as in the label of a UUIDv7."""
