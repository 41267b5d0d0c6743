"""State that this host keeps of one backend server."""

import attrs

from ebonystream._address import ServerAddress
from ebonystream._ids import (
    Monotonic,
    ServerId,
    ServiceName,
    VersionName,
    ZoneName,
)
from ebonystream.backend._lifecycle import ServerLifecycle
from ebonystream.backend._relative_latency import RelativeLatency
from ebonystream.backend._slowdown import Slowdown


@attrs.define(kw_only=True)
class BackendServer:
    """An entry of the host list, with the state of its server.

    Attributes:
        id: Its name in the host list.
        at: The address and the port at which it listens.
        service: The service that it belongs to.
        version: The version that it runs.
        zone: Its availability zone.
        leaving: Whether it is leaving by the host list.
        in_flight: Number of outstanding calls of this host.
        relative_latency: How fast it answers the calls of this host.
        leaving_since: When this host learned from the host list that it is
            leaving; None if it is not.
        lifecycle: Its phase, and its limits while it is starting.
        slowdown: Its latency, relative to its own past.
    """

    id: ServerId
    at: ServerAddress
    service: ServiceName
    version: VersionName
    zone: ZoneName
    leaving: bool = False
    in_flight: int = 0
    relative_latency: RelativeLatency = attrs.field(factory=RelativeLatency)
    leaving_since: Monotonic | None = None
    lifecycle: ServerLifecycle = attrs.field(factory=ServerLifecycle)
    slowdown: Slowdown = attrs.field(factory=Slowdown)
