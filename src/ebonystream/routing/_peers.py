"""Selection of the peers that slots are requested from."""

from collections.abc import Sequence
from random import Random

import attrs

from ebonystream._ids import HostId, ZoneName

LOCAL_PEER_COUNT = 3
"""Number of peers in the host's zone that one request is sent to."""

REMOTE_PEER_COUNT = 2
"""Number of peers in other zones that a repeated request is also sent to."""


@attrs.frozen
class SlotPeer:
    """An entry host that slots are exchanged with.

    Attributes:
        host: Id of the host.
        zone: Availability zone of the host.
    """

    host: HostId
    zone: ZoneName


def select_peers(
    peers: Sequence[SlotPeer],
    zone: ZoneName,
    *,
    include_remote: bool,
    random: Random,
) -> list[SlotPeer]:
    """Select the peers that the next request is sent to.

    If there are no peers in the host's zone, peers in other zones are selected
    in any case.

    Args:
        peers: The reachable peers.
        zone: Availability zone of this host.
        include_remote: Whether to select peers in other zones too.
        random: Random number generator.
    """
    local_peers = [peer for peer in peers if peer.zone == zone]
    selected = random.sample(
        local_peers, min(LOCAL_PEER_COUNT, len(local_peers))
    )
    if include_remote or not local_peers:
        remote_peers = [peer for peer in peers if peer.zone != zone]
        selected += random.sample(
            remote_peers, min(REMOTE_PEER_COUNT, len(remote_peers))
        )
    return selected
