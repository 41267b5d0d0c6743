"""Leaving servers, which get no new calls."""

from ebonystream._ids import Monotonic, Seconds
from ebonystream.backend._lifecycle import ServerPhase
from ebonystream.backend._server import BackendServer

MAX_LEAVING_DELAY = Seconds(1)
"""Upper bound on the time from learning that a server is leaving to the last
new call that is sent to it."""


def is_leaving(server: BackendServer) -> bool:
    """Return whether a server is leaving by the host list or its own report."""
    return server.leaving or server.lifecycle.phase is ServerPhase.DRAINING


def assert_not_leaving(server: BackendServer, now: Monotonic) -> None:
    """Assert that a server which is sent a call is not known to be leaving.

    Args:
        server: The server.
        now: Current time of the monotonic clock, in seconds.
    """
    known_since = now
    if server.lifecycle.phase is ServerPhase.DRAINING:
        known_since = server.lifecycle.changed_at
    if server.leaving_since is not None:
        known_since = min(known_since, server.leaving_since)
    assert now - known_since <= MAX_LEAVING_DELAY, (
        f'{server.id} is sent a call {now - known_since} s after it was known '
        'to be leaving'
    )
