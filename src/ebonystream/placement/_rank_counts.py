"""Counts of this host's recent requests by service and rank."""

import math

import attrs

from ebonystream._ids import Monotonic, Seconds, ServiceName
from ebonystream.placement._request import PlacementRequest
from ebonystream.placement._reservation import RankDemand

DEMAND_TIME = Seconds(5)
"""Time constant of the averages, in seconds; a shortage lasts about a dozen
seconds, and a host sees a few requests a second."""

MIN_RATE = 0.01
"""Requests per second below which a rank is forgotten."""


@attrs.frozen
class _Count:
    demand: RankDemand
    at: Monotonic

    def get(self, now: Monotonic) -> RankDemand:
        """Return the average, weighted down with its age."""
        left = math.exp(min(0, self.at - now) / DEMAND_TIME)
        return RankDemand(
            arrived=self.demand.arrived * left,
            started=self.demand.started * left,
            work=self.demand.work * left,
        )


@attrs.define
class RankCounts:
    """Moving averages of this host's requests by service and rank."""

    _counts: dict[tuple[ServiceName, int], _Count] = attrs.field(factory=dict)

    def record(
        self,
        request: PlacementRequest,
        *,
        processing_time: Seconds,
        is_started: bool,
        now: Monotonic,
    ) -> None:
        """Record the end of a request's search for a server.

        Args:
            request: The request.
            processing_time: Usual processing time of its route, in seconds.
            is_started: Whether it is sent to a server.
            now: Current time on the monotonic clock, in seconds.
        """
        if request.excluded_servers:
            return
        key = (request.service, request.get_rank())
        is_first = request.first_requested_at >= request.arrived_at
        demand = RankDemand(
            arrived=is_first / DEMAND_TIME,
            started=is_started / DEMAND_TIME,
            work=is_first * processing_time / DEMAND_TIME,
        )
        known = self._counts.get(key)
        if known is not None:
            demand = known.get(now).add(demand)
        self._counts[key] = _Count(demand, now)

    def list_current(
        self, now: Monotonic
    ) -> dict[tuple[ServiceName, int], RankDemand]:
        """List the averages by service and rank.

        Args:
            now: Current time on the monotonic clock, in seconds.
        """
        current = {key: count.get(now) for key, count in self._counts.items()}
        recent = {
            key: demand
            for key, demand in current.items()
            if max(demand.arrived, demand.started) >= MIN_RATE
        }
        self._counts = {key: self._counts[key] for key in recent}
        return recent
