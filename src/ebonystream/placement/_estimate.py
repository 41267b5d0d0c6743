"""How long a server's answer will take, from what it said."""

import attrs

from ebonystream._ids import RouteName, Seconds
from ebonystream.placement._offer import Sighting
from ebonystream.roster import LoadReport
from ebonystream.route import Route

FIRST_GUESS_SHARE = 0.37
"""The share of its objective that a request's work takes, until measured."""

LEARNING_WEIGHT = 0.1
NEARLY_FULL = 0.8
"""The share of busy slots from which a server works slower."""

NEARLY_FULL_SLOWDOWN = 1.7
COLD_SLOWDOWN = 2.0
FAILURE_SLOWDOWN = 1.5
"""How much worse each recent failure makes a server look."""

UNKNOWN_LOAD = LoadReport(running=0, waiting=0, slots=1, pace=1.5)
"""What stands in for the load of a server that tells none."""

BEGUN_SHARE = 0.6
"""The share of its work that a running request has left, on average."""

MIN_SLOWDOWN = 0.05


@attrs.define
class WorkTimes:
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
        guess = Seconds(route.objective * FIRST_GUESS_SHARE)
        return self.means.get(route.name, guess)

    def learn(self, route: Route, took: Seconds, slowdown: float) -> None:
        """Learn from an answer.

        Args:
            route: The route.
            took: How long the server took, in seconds.
            slowdown: How much longer than usual it was expected to work.
        """
        usual = took / max(slowdown, MIN_SLOWDOWN)
        mean = self.get(route)
        self.means[route.name] = Seconds(
            mean + LEARNING_WEIGHT * (usual - mean)
        )


def estimate_wait(load: LoadReport, work: Seconds, *, own: int) -> Seconds:
    """Estimate how long a request waits at a server before it is begun.

    Args:
        load: What the server said.
        work: The usual work of a request, in seconds.
        own: Requests that this host sent there since.
    """
    ahead = load.running + load.waiting + own - load.slots + 1
    if ahead <= 0:
        return Seconds(0)
    begun = work * BEGUN_SHARE * NEARLY_FULL_SLOWDOWN
    return Seconds(ahead * begun * load.pace / load.slots)


def estimate_slowdown(sighting: Sighting, *, own: int, cold: bool) -> float:
    """Estimate how much longer than usual a server works on a request.

    A pace that a server tells holds its slowness while cold already.

    Args:
        sighting: What the server said.
        own: Requests that this host sent there since.
        cold: Whether the server is cold.
    """
    load = get_load(sighting)
    busy = min(load.slots, load.running + own + 1)
    slow = NEARLY_FULL_SLOWDOWN if busy >= NEARLY_FULL * load.slots else 1
    told = sighting.report is not None and sighting.report.load is not None
    cold_slow = COLD_SLOWDOWN if cold and not told else 1
    return load.pace * slow * cold_slow


def estimate_risk(sighting: Sighting) -> float:
    """Estimate how much worse its recent failures make a server look.

    Args:
        sighting: What the server said.
    """
    failures = sighting.server.weigh_failures(sighting.at)
    return float(FAILURE_SLOWDOWN**failures)


def get_load(sighting: Sighting) -> LoadReport:
    """Give a server's load, or what stands in for it.

    Args:
        sighting: What it said.
    """
    report = sighting.report
    if report is None or report.load is None:
        waiting = sighting.server.in_flight
        return attrs.evolve(UNKNOWN_LOAD, running=waiting)
    return report.load
