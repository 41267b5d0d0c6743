"""Which peers are asked for slots."""

from collections.abc import Sequence
from random import Random

import attrs

from ebonystream._ids import HostId, ZoneName

PEERS_OF_ZONE = 3
"""How many peers of its own zone a host asks at once."""

PEERS_BEYOND = 2
"""How many of other zones, once its own zone has not helped."""


@attrs.frozen
class SlotPeer:
    """An entry host that slots are exchanged with.

    Attributes:
        host: Its name.
        zone: Where it stands.
    """

    host: HostId
    zone: ZoneName


def pick_peers(
    peers: Sequence[SlotPeer],
    zone: ZoneName,
    *,
    spilling: bool,
    random: Random,
) -> list[SlotPeer]:
    """Pick the peers that are asked next, those of the own zone first.

    Args:
        peers: The peers that can be reached.
        zone: Where this host stands.
        spilling: Whether other zones are asked too.
        random: Picks among peers that are alike.
    """
    near = [peer for peer in peers if peer.zone == zone]
    picked = random.sample(near, min(PEERS_OF_ZONE, len(near)))
    if spilling or not near:
        far = [peer for peer in peers if peer.zone != zone]
        picked += random.sample(far, min(PEERS_BEYOND, len(far)))
    return picked
