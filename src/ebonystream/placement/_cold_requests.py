"""How the requests that a cold server bears are shared among hosts.

A cold server bears few requests a second, from all hosts together. They are
shared by rendezvous hashing (Thaler and Ravishankar, 1998): each request of a
second belongs to the host with the highest hash, so that hosts which know the
same hosts agree without asking one another, and a host that comes or goes
moves only its own share.
"""

import hashlib
import math
from collections.abc import Sequence

import attrs

from ebonystream._ids import HostId, ServerId

CONCURRENT_VIEWS = 2
"""Number of different views of the hosts for which the bound holds, as when a
partition has lasted, or while hosts come and go."""

HASH_BYTES = 4
MAX_COLD_REQUESTS = 16
"""Upper bound on the requests of a second that are shared; a digest has room
for the hashes of so many."""


@attrs.frozen(kw_only=True)
class ColdLimits:
    """Bound on the requests that a cold server gets from all hosts.

    Attributes:
        overshoot: Factor of the rate that its service tolerates.
        slack: Requests in a second in addition.
    """

    overshoot: float
    slack: float


def compute_cold_requests(cold_rate: float, limits: ColdLimits) -> int:
    """Compute how many requests in a second all hosts may send together.

    It is what a cold server tolerates, rounded, and no more than hosts with
    different views may each send within the bound; one at least.

    Args:
        cold_rate: Requests per second that a cold server tolerates.
        limits: Bound on the requests of all hosts.
    """
    bound = cold_rate * limits.overshoot + limits.slack
    tolerated = min(round(cold_rate), MAX_COLD_REQUESTS)
    shared = min(tolerated, bound / CONCURRENT_VIEWS)
    return max(1, math.floor(shared))


def list_own_cold_requests(
    server: ServerId,
    hosts: Sequence[HostId],
    local_host: HostId,
    *,
    total: int,
) -> tuple[int, ...]:
    """List the requests of a second that belong to the local host, by number.

    Each number below the total belongs to one of the hosts.

    Args:
        server: The cold server.
        hosts: Hosts that share its requests.
        local_host: Name of the local host.
        total: Requests in a second of all hosts.
    """
    nobody = (b'', HostId(''))
    owners = [nobody for _ in range(total)]
    for host in hosts:
        hashes = _hash_requests(server, host, total)
        owners = [
            max(owner, (hashed, host))
            for owner, hashed in zip(owners, hashes, strict=True)
        ]
    return tuple(
        number
        for number, (_, owner) in enumerate(owners)
        if owner == local_host
    )


def _hash_requests(
    server: ServerId, host: HostId, total: int
) -> tuple[bytes, ...]:
    """Hash each request of a second at a server for one host."""
    digest = hashlib.blake2b(
        f'{server}\0{host}'.encode(), digest_size=HASH_BYTES * total
    ).digest()
    return tuple(
        digest[start : start + HASH_BYTES]
        for start in range(0, len(digest), HASH_BYTES)
    )
