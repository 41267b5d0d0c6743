"""Whether a server that reports free slots can be relied on to use them."""

from ebonystream._ids import Monotonic, Seconds
from ebonystream.roster._server import KnownServer

UNRELIABLE_FAILURES = 2
"""Weighted number of failures, of all hosts, from which the free slots of a
server are not relied on."""

CHECK_PERIOD = Seconds(0.05)
"""Time for which the result of a check is kept, in seconds: the reports of
hundreds of hosts are added up for it."""


def is_unreliable(server: KnownServer, now: Monotonic) -> bool:
    """Return whether a server has failed or refused requests lately.

    A server that refuses all requests looks idle to each host that asks for
    its load.

    Args:
        server: The server, which keeps the result for a short time.
        now: Current time on the monotonic clock, in seconds.
    """
    if now - server.reliability_checked_at >= CHECK_PERIOD:
        server.reliability_checked_at = now
        failures = server.get_all_failures(now)
        server.unreliable = failures >= UNRELIABLE_FAILURES
    return server.unreliable
