"""Results of probes and of the selection of a server."""

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream.roster import HealthReport, KnownServer


@attrs.frozen
class ProbeResult:
    """Result of one probe.

    Attributes:
        server: The probed server.
        report: Its health report; None if it did not answer in time.
        sent_at: When the probe was sent.
    """

    server: KnownServer
    report: HealthReport | None
    sent_at: Monotonic


@attrs.frozen(kw_only=True)
class Reserve:
    """What a request leaves to more urgent ones.

    Attributes:
        share: Share of the sampled slots that stays free.
        urgent_work: Slots that more urgent requests would occupy on idle
            servers.
        age: Age of the oldest report of their demand, in seconds.
    """

    share: float
    urgent_work: float
    age: Seconds


@attrs.frozen(kw_only=True)
class ReserveDecision:
    """The comparison of a sample with a reserve.

    Attributes:
        reserve: What the request leaves to more urgent ones.
        free: Free slots of the sampled servers.
        slots: All slots of the sampled servers.
    """

    reserve: Reserve
    free: int
    slots: int


@attrs.frozen(kw_only=True)
class Candidate:
    """A server that may be selected, with its estimated latency.

    Attributes:
        probe_result: Result of its probe.
        expected_latency: Expected latency of the response, in seconds.
        slowdown: Expected ratio of the processing time to the usual one.
        probe_count: Number of servers probed.
        has_free_slot: Whether the server has a free slot and would start at
            once.
        reserve: The reserve that the request was compared with; None if
            there is none.
        was_held: Whether the request waited while slots were free, which were
            left to more urgent ones.
    """

    probe_result: ProbeResult
    expected_latency: Seconds
    slowdown: float
    probe_count: int
    has_free_slot: bool
    reserve: ReserveDecision | None = None
    was_held: bool = False


@attrs.frozen(kw_only=True)
class NoCapacity:
    """No server can take the request now.

    Attributes:
        retry_after: Delay until capacity is expected, in seconds.
        probe_count: Number of servers probed.
        reason: One of `none_willing`, `full`, `too_slow` (servers are free,
            but too slow for this request), `reserved` (the free slots are
            left to more urgent requests), `queue_full` (the requests that
            wait need longer than this one can wait), `others_wait`,
            `caller_left` or `host_leaves`.
        probe_results: Results of the last probes.
        reserve: The reserve that the request was compared with; None if
            there is none.
        was_held: Whether the request waited while slots were free, which were
            left to more urgent ones.
    """

    retry_after: Seconds
    probe_count: int
    reason: str
    probe_results: tuple[ProbeResult, ...] = ()
    reserve: ReserveDecision | None = None
    was_held: bool = False
