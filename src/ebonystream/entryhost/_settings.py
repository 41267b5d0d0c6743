"""Settings of an entry host."""

import attrs

from ebonystream._address import ServerAddress
from ebonystream._ids import HostId, Seconds, ZoneName


@attrs.frozen(kw_only=True)
class HostLimits:
    """Limits that the platform sets.

    Attributes:
        shutdown_grace: How long a host may take to shut down, in seconds.
        retry_ratio: Retries allowed for each first attempt, over all hosts.
        base_retries: Retries allowed in each window in addition to the ratio,
            over all hosts.
        retry_window: Length of the sliding window, in seconds.
    """

    shutdown_grace: Seconds
    retry_ratio: float
    base_retries: float
    retry_window: Seconds


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
    """

    name: HostId
    zone: ZoneName
    caller_endpoint: ServerAddress
    readiness_endpoint: ServerAddress
    peer_endpoint: ServerAddress
    seeds: tuple[ServerAddress, ...]
    store_endpoint: ServerAddress
    limits: HostLimits
