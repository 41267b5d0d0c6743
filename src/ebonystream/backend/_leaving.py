"""Servers that leave: no new work once it is known."""

from ebonystream._ids import Monotonic, Seconds
from ebonystream.backend._server import BackendServer
from ebonystream.backend._warmth import ServerPhase

LEAVING_BOUND = Seconds(1)
"""How long after a server is known to leave it may still get new work."""


def is_leaving(server: BackendServer) -> bool:
    """Tell whether the host list or the server itself says that it leaves."""
    return server.leaving or server.warmth.phase is ServerPhase.DRAINING


def check_leaving(server: BackendServer, now: Monotonic) -> None:
    """Assert that a server which gets a call is not known to leave.

    Args:
        server: The server.
        now: The present time.
    """
    learned = now
    if server.warmth.phase is ServerPhase.DRAINING:
        learned = server.warmth.changed_at
    if server.leaving_since is not None:
        learned = min(learned, server.leaving_since)
    assert now - learned <= LEAVING_BOUND, (
        f'{server.id} gets new work {now - learned} s after it was known '
        'to leave'
    )
