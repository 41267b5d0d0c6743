"""Messages by which entry hosts exchange slots of backend servers."""

import msgspec

from ebonystream._ids import (
    HostId,
    ServerId,
    ServiceName,
    SlotNumber,
    ZoneName,
)


class SlotClaim(msgspec.Struct, frozen=True, array_like=True):
    """One slot of a backend server that a host holds.

    Attributes:
        number: Which slot of the server.
        sequence: How often the slot has changed hands; the higher wins.
    """

    number: SlotNumber
    sequence: int


class AskSlots(msgspec.Struct, tag='a', frozen=True, array_like=True):
    """Asks a peer for slots that calls wait for.

    Attributes:
        host: Who asks.
        zone: The zone that it stands in.
        service: Whose slots are asked for.
        wanted: How many calls wait.
        rank: The rank of the first of them; 0 goes first.
        waited_ms: How long that one has waited.
        asked_ms: The asker's own clock, which a grant repeats.
    """

    host: HostId
    zone: ZoneName
    service: ServiceName
    wanted: int
    rank: int
    waited_ms: float
    asked_ms: float


class GrantSlot(msgspec.Struct, tag='g', frozen=True, array_like=True):
    """Hands one slot of a backend server over to the host that asked.

    Attributes:
        service: The service of the server.
        server: The backend server.
        number: Which of its slots.
        sequence: How often the slot has changed hands, this time counted.
        asked_ms: As in the request.
        lease_ms: How long the slot may be used from then on, until home has
            heard of its new holder.
        overlap: Whether it is beyond what the server works on at a time.
    """

    service: ServiceName
    server: ServerId
    number: SlotNumber
    sequence: int
    asked_ms: float
    lease_ms: float
    overlap: bool = False


PeerNote = AskSlots | GrantSlot
"""The closed list of messages that get no answer of their own."""
