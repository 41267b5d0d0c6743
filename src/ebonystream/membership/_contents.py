"""What a heartbeat carries beside the state of the membership."""

from collections.abc import Callable

import msgspec

from ebonystream._ids import CustomerId, Offset, ServerId, ZoneName
from ebonystream.peer import (
    ServerLoad,
    ServerStanding,
    VersionBrake,
    VersionEvidence,
)


class HeartbeatContents(msgspec.Struct, frozen=True, kw_only=True):
    """What this host tells its peers of its work.

    A heartbeat may be lost, so each carries the whole of what is true now.

    Attributes:
        control_next: The next offset of the control stream it will fold.
        keys_next: The next offset of the keys stream it will fold.
        loads: What it does at backend servers.
        zones_in_flight: Calls that it has in hand in each zone.
        brakes: Versions that it stopped.
        suspects: Fingerprints of requests that it saw end a server.
        standings: How far it would use backend servers, some of them.
        evidence: What it has seen of version moves.
        wants: Starting servers that it has calls for.
        demands: Calls a second that come to it, by customer.
        revision: Numbers the loads; 0 where they are not numbered.
    """

    control_next: Offset = Offset(0)
    keys_next: Offset = Offset(0)
    loads: tuple[ServerLoad, ...] = ()
    zones_in_flight: dict[ZoneName, int] = msgspec.field(default_factory=dict)
    brakes: tuple[VersionBrake, ...] = ()
    suspects: tuple[str, ...] = ()
    standings: tuple[ServerStanding, ...] = ()
    evidence: tuple[VersionEvidence, ...] = ()
    wants: tuple[ServerId, ...] = ()
    demands: dict[CustomerId, float] = msgspec.field(default_factory=dict)
    revision: int = 0


FillHeartbeat = Callable[[], HeartbeatContents]
"""Gives the contents of the next heartbeat; called for each one sent."""
