"""What asking servers brought: a server with room, or when there is room."""

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream.roster import HealthReport, KnownServer


@attrs.frozen
class ProbeResult:
    """What one server said when it was asked.

    Attributes:
        server: The server.
        report: What it said; None where it didn't answer in time.
        sent_at: When the question was sent.
    """

    server: KnownServer
    report: HealthReport | None
    sent_at: Monotonic


@attrs.frozen(kw_only=True)
class Candidate:
    """A server that a request may be sent to now.

    Attributes:
        probe_result: What it said.
        expected_latency: How long its answer will take, in seconds.
        slowdown: How much longer than usual the server will work on it.
        probe_count: How many servers were asked.
        has_free_slot: Whether the server would begin at once.
    """

    probe_result: ProbeResult
    expected_latency: Seconds
    slowdown: float
    probe_count: int
    has_free_slot: bool


@attrs.frozen(kw_only=True)
class NoCapacity:
    """No server may take the request now.

    Attributes:
        retry_after: When there may be room, in seconds from now.
        probe_count: How many servers were asked.
        reason: What stood against it: `none_willing`, `full`, `too_slow` (there
            are free servers, but not for this request), `others_wait` or
            `caller_left`.
        probe_results: What the servers said that were asked last.
    """

    retry_after: Seconds
    probe_count: int
    reason: str
    probe_results: tuple[ProbeResult, ...] = ()
