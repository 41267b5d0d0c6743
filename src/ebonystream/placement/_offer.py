"""What asking servers brought: a server with room, or when there is room."""

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream.roster import HealthReport, KnownServer


@attrs.frozen
class Sighting:
    """What one server said when it was asked.

    Attributes:
        server: The server.
        report: What it said; None where it didn't answer in time.
        at: When the question was sent.
    """

    server: KnownServer
    report: HealthReport | None
    at: Monotonic


@attrs.frozen(kw_only=True)
class Offer:
    """A server that a request may be sent to now.

    Attributes:
        sighting: What it said.
        expected: How long its answer will take, in seconds.
        slowdown: How much longer than usual the server will work on it.
        asked: How many servers were asked.
        free: Whether the server would begin at once.
    """

    sighting: Sighting
    expected: Seconds
    slowdown: float
    asked: int
    free: bool


@attrs.frozen(kw_only=True)
class NoRoom:
    """No server may take the request now.

    Attributes:
        after: When there may be room, in seconds from now.
        asked: How many servers were asked.
        why: What stood against it: `none_willing`, `full`, `too_slow` (there
            are free servers, but not for this request), `others_wait` or
            `caller_left`.
        seen: What the servers said that were asked last.
    """

    after: Seconds
    asked: int
    why: str
    seen: tuple[Sighting, ...] = ()
