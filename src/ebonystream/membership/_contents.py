"""Contents of a heartbeat that do not concern the membership itself."""

from collections.abc import Callable

import msgspec

from ebonystream._ids import CustomerId, Offset, ServerId, ZoneName
from ebonystream.peer import (
    ServerLoad,
    ServerStanding,
    StoppedVersion,
    VersionEvidence,
)


class HeartbeatContents(msgspec.Struct, frozen=True, kw_only=True):
    """State of the work of this host, as sent to its peers.

    A heartbeat may be lost, so each one carries the complete current state
    and not only what has changed.

    Attributes:
        control_next: Offset of the next record of the control stream that
            this host will apply.
        keys_next: Offset of the next record of the keys stream that this host
            will apply.
        loads: Its calls in flight and slots at backend servers.
        zones_in_flight: Number of its calls in flight in each zone.
        brakes: Version moves that it stopped.
        suspects: Encoded reports of requests suspected of crashing backend
            servers.
        standings: Phases of some backend servers, as this host sees them.
        evidence: Its measurements of version moves.
        wants: Starting backend servers that it has calls for.
        demands: Calls that it receives per second, by customer.
        revision: Revision number of the loads; 0 if they have none.
    """

    control_next: Offset = Offset(0)
    keys_next: Offset = Offset(0)
    loads: tuple[ServerLoad, ...] = ()
    zones_in_flight: dict[ZoneName, int] = msgspec.field(default_factory=dict)
    brakes: tuple[StoppedVersion, ...] = ()
    suspects: tuple[str, ...] = ()
    standings: tuple[ServerStanding, ...] = ()
    evidence: tuple[VersionEvidence, ...] = ()
    wants: tuple[ServerId, ...] = ()
    demands: dict[CustomerId, float] = msgspec.field(default_factory=dict)
    revision: int = 0


MakeHeartbeatContents = Callable[[], HeartbeatContents]
"""Return the contents of the next heartbeat; called for each one sent."""
