"""Messages for the exchange of slots of backend servers between hosts.

Each server has a home: the entry host that creates those of its slots that no
host holds.
"""

import msgspec

from ebonystream._ids import (
    HostId,
    ServerId,
    ServiceName,
    SlotNumber,
    ZoneName,
)


class SlotClaim(msgspec.Struct, frozen=True, array_like=True):
    """Claim of a host on one slot of a backend server.

    Attributes:
        number: Number of the slot within the server.
        sequence: Number of transfers of the slot; of two claims, the higher
            one is valid.
    """

    number: SlotNumber
    sequence: int


class SlotRequest(msgspec.Struct, tag='a', frozen=True, array_like=True):
    """Request to a peer for slots, for calls in the wait queue.

    Attributes:
        host: Host that sends the request.
        zone: Availability zone of that host.
        service: Service whose slots are requested.
        wanted: Number of calls that wait.
        rank: Rank of the first of them; 0 is served first.
        waited_ms: How long the first call has waited, in milliseconds.
        asked_ms: Time of the request on the clock of that host, in
            milliseconds; repeated in the grant.
    """

    host: HostId
    zone: ZoneName
    service: ServiceName
    wanted: int
    rank: int
    waited_ms: float
    asked_ms: float


class SlotGrant(msgspec.Struct, tag='g', frozen=True, array_like=True):
    """Transfer of one slot of a backend server to another host.

    It answers a request, or returns the slot to the home of the server.

    Attributes:
        service: Service of the server.
        server: Name of the backend server.
        number: Number of the slot within the server.
        sequence: Number of transfers of the slot, including this one.
        asked_ms: Time of the request, as in the request; -1 if the slot is
            returned to the home of the server.
        lease_ms: How long after that time the slot may be used before the
            home of the server knows of its new holder, in milliseconds.
        overlap: Whether the slot is in excess of the calls that the server
            processes at the same time.
    """

    service: ServiceName
    server: ServerId
    number: SlotNumber
    sequence: int
    asked_ms: float
    lease_ms: float
    overlap: bool = False


SlotMessage = SlotRequest | SlotGrant
"""All messages that get no response of their own."""
