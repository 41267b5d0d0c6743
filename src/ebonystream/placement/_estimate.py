"""How long a server's answer will take, from what it said."""

import attrs

from ebonystream._ids import RouteName, Seconds
from ebonystream.placement._results import ProbeResult
from ebonystream.roster import LoadReport
from ebonystream.route import Route

INITIAL_OBJECTIVE_SHARE = 0.37
"""The share of its objective that a request's work takes, until measured."""

SMOOTHING_FACTOR = 0.1
NEARLY_FULL_SHARE = 0.8
"""The share of busy slots from which a server works slower."""

NEARLY_FULL_SLOWDOWN = 1.7
COLD_SLOWDOWN = 2.0
FAILURE_PENALTY = 1.5
"""How much worse each recent failure makes a server look."""

DEFAULT_LOAD = LoadReport(running=0, waiting=0, slots=1, pace=1.5)
"""What stands in for the load of a server that tells none."""

REMAINING_SHARE = 0.6
"""The share of its work that a running request has left, on average."""

MIN_SLOWDOWN = 0.05


@attrs.define
class ProcessingTimes:
    """The usual work of each route, on a machine at its usual pace.

    Attributes:
        means: Seconds of work, by route.
    """

    means: dict[RouteName, Seconds] = attrs.field(factory=dict)

    def get(self, route: Route) -> Seconds:
        """Give the usual work of a route, in seconds.

        Args:
            route: The route.
        """
        guess = Seconds(route.objective * INITIAL_OBJECTIVE_SHARE)
        return self.means.get(route.name, guess)

    def record(self, route: Route, took: Seconds, slowdown: float) -> None:
        """Learn from an answer.

        Args:
            route: The route.
            took: How long the server took, in seconds.
            slowdown: How much longer than usual it was expected to work.
        """
        usual = took / max(slowdown, MIN_SLOWDOWN)
        mean = self.get(route)
        self.means[route.name] = Seconds(
            mean + SMOOTHING_FACTOR * (usual - mean)
        )


def estimate_wait(
    load: LoadReport, work: Seconds, *, sent_since: int
) -> Seconds:
    """Estimate how long a request waits at a server before it is begun.

    Args:
        load: What the server said.
        work: The usual work of a request, in seconds.
        sent_since: Requests that this host sent there since.
    """
    ahead = load.running + load.waiting + sent_since - load.slots + 1
    if ahead <= 0:
        return Seconds(0)
    begun = work * REMAINING_SHARE * NEARLY_FULL_SLOWDOWN
    return Seconds(ahead * begun * load.pace / load.slots)


def estimate_slowdown(
    sighting: ProbeResult, *, sent_since: int, is_cold: bool
) -> float:
    """Estimate how much longer than usual a server works on a request.

    A pace that a server tells holds its slowness while cold already.

    Args:
        sighting: What the server said.
        sent_since: Requests that this host sent there since.
        is_cold: Whether the server is cold.
    """
    load = get_load(sighting)
    busy = min(load.slots, load.running + sent_since + 1)
    slow = NEARLY_FULL_SLOWDOWN if busy >= NEARLY_FULL_SHARE * load.slots else 1
    told = sighting.report is not None and sighting.report.load is not None
    cold_slow = COLD_SLOWDOWN if is_cold and not told else 1
    return load.pace * slow * cold_slow


def estimate_failure_penalty(sighting: ProbeResult) -> float:
    """Estimate how much worse its recent failures make a server look.

    Args:
        sighting: What the server said.
    """
    failures = sighting.server.get_all_failures(sighting.sent_at)
    return float(FAILURE_PENALTY**failures)


def get_load(sighting: ProbeResult) -> LoadReport:
    """Give a server's load, or what stands in for it.

    Args:
        sighting: What it said.
    """
    report = sighting.report
    if report is None or report.load is None:
        waiting = sighting.server.in_flight
        return attrs.evolve(DEFAULT_LOAD, running=waiting)
    return report.load
