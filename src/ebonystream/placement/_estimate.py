"""Estimates of a server's response latency from its reported load."""

import attrs

from ebonystream._ids import RouteName, Seconds
from ebonystream.placement._results import ProbeResult
from ebonystream.roster import LoadReport
from ebonystream.route import Route

INITIAL_OBJECTIVE_SHARE = 0.37
"""Processing time as a share of the objective, until one is measured."""

SMOOTHING_FACTOR = 0.1
"""Weight of the newest processing time in the average of its route."""

NEARLY_FULL_SHARE = 0.8
"""Share of busy slots from which a server slows down."""

NEARLY_FULL_SLOWDOWN = 1.7
COLD_SLOWDOWN = 2.0
FAILURE_PENALTY = 1.5
"""Factor on the expected latency for each recent failure."""

MAX_COUNTED_FAILURES = 50
"""Number of recent failures from which more of them make no difference."""

DEFAULT_LOAD = LoadReport(running=0, waiting=0, slots=1, pace=1.5)
"""Load assumed for a server that reports none."""

REMAINING_SHARE = 0.6
"""Average share of its processing that a running request has left."""

MIN_SLOWDOWN = 0.05
"""Lower bound on the slowdown that a processing time is divided by."""


@attrs.define
class ProcessingTimes:
    """Moving average of each route's processing time at usual server pace.

    Attributes:
        means: Average processing time of each route, in seconds.
    """

    means: dict[RouteName, Seconds] = attrs.field(factory=dict)

    def get(self, route: Route) -> Seconds:
        """Return the usual processing time of a route, in seconds.

        Args:
            route: The route; its objective gives the initial estimate.
        """
        initial = Seconds(route.objective * INITIAL_OBJECTIVE_SHARE)
        return self.means.get(route.name, initial)

    def record(self, route: Route, duration: Seconds, slowdown: float) -> None:
        """Update the average from a response.

        Args:
            route: Route of the request.
            duration: Measured processing time, in seconds.
            slowdown: Expected ratio of this time to the usual one, which is
                divided out.
        """
        usual = duration / max(slowdown, MIN_SLOWDOWN)
        mean = self.get(route)
        self.means[route.name] = Seconds(
            mean + SMOOTHING_FACTOR * (usual - mean)
        )


def estimate_wait(
    load: LoadReport, processing_time: Seconds, *, sent_since: int
) -> Seconds:
    """Estimate how long a request is queued at a server before it starts.

    Args:
        load: Load reported by the server.
        processing_time: Usual processing time of a request, in seconds.
        sent_since: Requests that this host has sent to the server since the
            report.
    """
    ahead = load.running + load.waiting + sent_since - load.slots + 1
    if ahead <= 0:
        return Seconds(0)
    # A request waits only if all slots are busy, which slows the server down.
    remaining = processing_time * REMAINING_SHARE * NEARLY_FULL_SLOWDOWN
    return Seconds(ahead * remaining * load.pace / load.slots)


def estimate_slowdown(
    result: ProbeResult, *, sent_since: int, is_cold: bool
) -> float:
    """Estimate the ratio of a server's processing time to the usual one.

    A pace reported by a cold server already includes its cold slowdown.

    Args:
        result: Result of the server's probe.
        sent_since: Requests that this host has sent to the server since the
            probe.
        is_cold: Whether the server is cold.
    """
    load = get_load(result)
    busy = min(load.slots, load.running + sent_since + 1)
    load_slowdown = (
        NEARLY_FULL_SLOWDOWN if busy >= NEARLY_FULL_SHARE * load.slots else 1
    )
    has_load = result.report is not None and result.report.load is not None
    cold_slowdown = COLD_SLOWDOWN if is_cold and not has_load else 1
    return load.pace * load_slowdown * cold_slowdown


def estimate_failure_penalty(result: ProbeResult) -> float:
    """Return the latency factor for a server's recent failures.

    Args:
        result: Result of the server's probe.
    """
    failures = result.server.get_all_failures(result.sent_at)
    failures = min(failures, MAX_COUNTED_FAILURES)
    return float(FAILURE_PENALTY**failures)


def get_load(result: ProbeResult) -> LoadReport:
    """Return a server's reported load, or a default if it reports none.

    Args:
        result: Result of the server's probe.
    """
    report = result.report
    if report is None or report.load is None:
        in_flight = result.server.in_flight
        return attrs.evolve(DEFAULT_LOAD, running=in_flight)
    return report.load
