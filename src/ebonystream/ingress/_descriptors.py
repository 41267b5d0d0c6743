"""The division of a machine's descriptors among the uses of a process.

The load that this addresses: clients that open connections without end, until
none is left to ask a server, the store or a peer, or to say that the host is
ready.
"""

import attrs

from ebonystream.ingress._account import CONNECTION_BYTES

FILE_DESCRIPTORS = 200
"""Descriptors of a machine that are reserved for files."""

MIN_DESCRIPTORS = 264
"""The fewest descriptors of a machine on which a host can run."""

DEFAULT_DESCRIPTORS = 4100
CALLER_SHARE = 1 / 2
PEER_SHARE = 1 / 8
READINESS_SHARE = 1 / 32
METRICS_SHARE = 1 / 64
CONNECTION_MEMORY_SHARE = 1 / 2
"""Largest share of the memory budget that idle connections may take."""

MAX_PEER_CONNECTIONS = 512
MAX_READINESS_CONNECTIONS = 64
MAX_METRICS_CONNECTIONS = 16


@attrs.frozen(kw_only=True)
class ConnectionShares:
    """Maximum numbers of connections that a host accepts.

    What is left is for the connections to servers and to the store.

    Attributes:
        callers: From callers.
        peers: From other hosts.
        readiness: For readiness checks.
        metrics: For the metrics page.
    """

    callers: int
    peers: int
    readiness: int
    metrics: int


def divide_descriptors(max_fds: int, budget_bytes: int) -> ConnectionShares:
    """Divide the descriptors of a machine.

    Args:
        max_fds: Descriptors that the process may have open.
        budget_bytes: Bytes that it may hold for callers.
    """
    free = max_fds - FILE_DESCRIPTORS
    by_memory = int(budget_bytes * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES)
    return ConnectionShares(
        callers=max(1, min(int(free * CALLER_SHARE), by_memory)),
        peers=min(int(free * PEER_SHARE), MAX_PEER_CONNECTIONS),
        readiness=min(int(free * READINESS_SHARE), MAX_READINESS_CONNECTIONS),
        metrics=min(int(free * METRICS_SHARE), MAX_METRICS_CONNECTIONS),
    )
