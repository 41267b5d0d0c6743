"""Results of probes and of the selection of a server."""

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream.roster import HealthReport, KnownServer


@attrs.frozen
class Sighting:
    """Result of one probe.

    Attributes:
        server: The probed server.
        report: Its health report; None if it did not answer in time.
        at: When the probe was sent.
    """

    server: KnownServer
    report: HealthReport | None
    at: Monotonic


@attrs.frozen(kw_only=True)
class Offer:
    """A server that may be selected, with its estimated latency.

    Attributes:
        sighting: Result of its probe.
        expected: Expected latency of the response, in seconds.
        slowdown: Expected ratio of the processing time to the usual one.
        asked: Number of servers probed.
        free: Whether the server has a free slot and would start at once.
    """

    sighting: Sighting
    expected: Seconds
    slowdown: float
    asked: int
    free: bool


@attrs.frozen(kw_only=True)
class NoRoom:
    """No server can take the request now.

    Attributes:
        after: Delay until capacity is expected, in seconds.
        asked: Number of servers probed.
        why: Reason: `none_willing`, `full`, `too_slow` (servers are free, but
            too slow for this request), `others_wait` or `caller_left`.
        seen: Results of the last probes.
    """

    after: Seconds
    asked: int
    why: str
    seen: tuple[Sighting, ...] = ()
