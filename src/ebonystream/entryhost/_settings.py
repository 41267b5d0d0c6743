"""What an entry host is told at its start."""

import attrs

from ebonystream._address import ServerAddress
from ebonystream._ids import HostId, Seconds, ZoneName


@attrs.frozen(kw_only=True)
class SharedBounds:
    """Bounds that hold over all hosts together.

    Attributes:
        drain: How soon a leaving server gets nothing more, in seconds.
        grace: How long a host may take to stop, in seconds.
        apply: How soon a configuration is in force, in seconds.
        repeat_ratio: Second attempts for each first one.
        repeat_slack: Second attempts beside these, in each window.
        repeat_window: The length of that window, in seconds.
        exposure_share: The share of a service's requests that a version on
            trial may get.
    """

    drain: Seconds
    grace: Seconds
    apply: Seconds
    repeat_ratio: float
    repeat_slack: float
    repeat_window: Seconds
    exposure_share: float


@attrs.frozen(kw_only=True)
class HostSettings:
    """One entry host's settings.

    Attributes:
        name: Its name.
        zone: The availability zone it stands in.
        callers: Where it listens for callers.
        readiness: Where it tells whether it is ready.
        control: Where its seeds are told to listen; None where unused.
        peers: Where it listens for its peers.
        seeds: Addresses of some hosts, which may be stale.
        store: Where the platform's store listens.
        heartbeat: How often backend servers renew their entries, in seconds.
        bounds: Bounds that hold over all hosts together.
    """

    name: HostId
    zone: ZoneName
    callers: ServerAddress
    readiness: ServerAddress
    control: ServerAddress | None
    peers: ServerAddress
    seeds: tuple[ServerAddress, ...]
    store: ServerAddress
    heartbeat: Seconds
    bounds: SharedBounds
