"""One backend server, as one entry host knows it."""

import attrs

from ebonystream._address import ServerAddress
from ebonystream._ids import (
    Monotonic,
    ServerId,
    ServiceName,
    VersionName,
    ZoneName,
)
from ebonystream.backend._evidence import Evidence
from ebonystream.backend._latency import Slowdown
from ebonystream.backend._warmth import Warmth


@attrs.define(kw_only=True)
class BackendServer:
    """One backend server and this host's view of it.

    Attributes:
        id: Its name in the host list.
        at: Where it listens.
        service: The service it belongs to.
        version: The version it runs.
        zone: The availability zone it stands in.
        leaving: Whether the host list says that it leaves.
        in_flight: Calls of this entry host that it has in hand.
        evidence: What this host's own calls there showed.
        leaving_since: When this host learned that it leaves.
        warmth: How much work it bears.
        slowdown: How its latency is beside its own past.
    """

    id: ServerId
    at: ServerAddress
    service: ServiceName
    version: VersionName
    zone: ZoneName
    leaving: bool = False
    in_flight: int = 0
    evidence: Evidence = attrs.field(factory=Evidence)
    leaving_since: Monotonic | None = None
    warmth: Warmth = attrs.field(factory=Warmth)
    slowdown: Slowdown = attrs.field(factory=Slowdown)
