"""Settings of an entry host."""

import attrs

from ebonystream._address import ServerAddress
from ebonystream._ids import HostId, Seconds, ZoneName
from ebonystream._validation import (
    make_range_validator,
    validate_duration,
    validate_endpoint,
    validate_name,
    validate_token,
)
from ebonystream.ingress import DEFAULT_DESCRIPTORS, MIN_DESCRIPTORS
from ebonystream.placement import ColdLimits

MAX_RETRY_RATIO = 100
MAX_RETRIES = 1_000_000
MAX_PROBE_RATE = 1_000_000
MAX_DESCRIPTORS = 1_073_741_824
MAX_BYTES = 1_125_899_906_842_624
MIN_CLIENT_MEMORY_BYTES = 1_048_576
DEFAULT_CLIENT_MEMORY_BYTES = 94_371_840
"""Default for a machine of 200 MB."""

MIN_REVOKE_S = 2
MAX_REVOKE_S = 3600
MIN_APPLY_TIME = Seconds(0.2)
MAX_APPLY_TIME = Seconds(3600)
DEFAULT_APPLY_TIME = Seconds(2)
MIN_WINDOW = Seconds(1)
MAX_WINDOW = Seconds(3600)
MIN_LEASE = Seconds(0.5)
MAX_LEASE = Seconds(60)


@attrs.frozen(kw_only=True)
class HostLimits:
    """Limits that the platform sets.

    A limit that is out of range raises `ValueError`.

    Attributes:
        shutdown_grace: How long a host may take to shut down, in seconds.
        retry_ratio: Retries allowed for each first attempt, over all hosts.
        base_retries: Retries allowed in each window in addition to the ratio,
            over all hosts.
        retry_window: Length of the sliding window, in seconds.
        probe_rate: Probes per second that one backend server may get from all
            hosts together.
        cold_limits: Bound on the requests that a cold server gets in a second.
        response_buffer_bytes: Memory of this host that incomplete responses of
            backend servers may take together.
        revoke: How long after the withdrawal of a key its requests may still
            run, in seconds; None if this is not bounded.
        apply_time: How long after its acknowledgement by the store an order may
            not be in force on a host that reaches the store, in seconds.
        client_memory_bytes: Bytes that this host may hold for its callers.
        max_descriptors: Descriptors that this host may have open.
    """

    shutdown_grace: Seconds = attrs.field(validator=validate_duration)
    retry_ratio: float = attrs.field(
        validator=make_range_validator(0, MAX_RETRY_RATIO)
    )
    base_retries: float = attrs.field(
        validator=make_range_validator(0, MAX_RETRIES)
    )
    retry_window: Seconds = attrs.field(validator=validate_duration)
    probe_rate: float = attrs.field(
        validator=make_range_validator(1, MAX_PROBE_RATE)
    )
    cold_limits: ColdLimits
    response_buffer_bytes: int
    revoke: Seconds | None = attrs.field(
        default=None,
        validator=attrs.validators.optional(
            make_range_validator(MIN_REVOKE_S, MAX_REVOKE_S)
        ),
    )
    apply_time: Seconds = attrs.field(
        default=DEFAULT_APPLY_TIME,
        validator=make_range_validator(MIN_APPLY_TIME, MAX_APPLY_TIME),
    )
    client_memory_bytes: int = attrs.field(
        default=DEFAULT_CLIENT_MEMORY_BYTES,
        validator=make_range_validator(MIN_CLIENT_MEMORY_BYTES, MAX_BYTES),
    )
    max_descriptors: int = attrs.field(
        default=DEFAULT_DESCRIPTORS,
        validator=make_range_validator(MIN_DESCRIPTORS, MAX_DESCRIPTORS),
    )


@attrs.frozen(kw_only=True)
class UsageSettings:
    """Settings of the reporting of usage.

    Attributes:
        endpoint: Address of the service that takes the reports.
        lease: Least time between the calls of two hosts, in seconds.
        window: Length of a window, in seconds.
        late: How long after the end of a window its report is due, in
            seconds.
    """

    endpoint: ServerAddress = attrs.field(validator=validate_endpoint)
    lease: Seconds = attrs.field(
        validator=make_range_validator(MIN_LEASE, MAX_LEASE)
    )
    window: Seconds = attrs.field(
        validator=make_range_validator(MIN_WINDOW, MAX_WINDOW)
    )
    late: Seconds = attrs.field(
        validator=make_range_validator(MIN_WINDOW, MAX_WINDOW)
    )


@attrs.frozen(kw_only=True)
class HostSettings:
    """Settings of one entry host.

    Attributes:
        name: Name of the host.
        zone: Availability zone of the host.
        caller_endpoint: Address that it listens on for callers.
        readiness_endpoint: Address that it listens on for readiness checks.
        peer_endpoint: Address that it listens on for gossip; requests for
            shared state go to the next port.
        seeds: Addresses of some hosts, which may be out of date.
        store_endpoint: Address of the platform's store.
        limits: Limits that the platform sets.
        usage: Settings of the reporting of usage; None if it is not reported.
            They take effect at the next start.
    """

    name: HostId = attrs.field(validator=validate_token)
    zone: ZoneName = attrs.field(validator=validate_name)
    caller_endpoint: ServerAddress
    readiness_endpoint: ServerAddress
    peer_endpoint: ServerAddress = attrs.field(validator=validate_endpoint)
    seeds: tuple[ServerAddress, ...]
    store_endpoint: ServerAddress
    limits: HostLimits
    usage: UsageSettings | None = None
