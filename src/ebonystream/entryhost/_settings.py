"""What an entry host is told at its start."""

import attrs

from ebonystream._address import ServerAddress
from ebonystream._ids import HostId, Seconds, ZoneName


@attrs.frozen(kw_only=True)
class SharedBounds:
    """Bounds that hold over all hosts together.

    Attributes:
        grace: How long a host may take to stop, in seconds.
        repeat_ratio: Second attempts for each first one.
        repeat_slack: Second attempts beside these, in each window.
        repeat_window: The length of that window, in seconds.
    """

    grace: Seconds
    repeat_ratio: float
    repeat_slack: float
    repeat_window: Seconds


@attrs.frozen(kw_only=True)
class HostSettings:
    """One entry host's settings.

    Attributes:
        name: Its name.
        zone: The availability zone it stands in.
        callers: Where it listens for callers.
        readiness: Where it tells whether it is ready.
        peers: Where it listens for its peers.
        seeds: Addresses of some hosts, which may be stale.
        store: Where the platform's store listens.
        bounds: Bounds that hold over all hosts together.
    """

    name: HostId
    zone: ZoneName
    callers: ServerAddress
    readiness: ServerAddress
    peers: ServerAddress
    seeds: tuple[ServerAddress, ...]
    store: ServerAddress
    bounds: SharedBounds
