"""What this host knows of the reserve of each service."""

from collections.abc import Callable, Iterable, Sequence

import attrs

from ebonystream._ids import Monotonic, Seconds, ServerId, ServiceName
from ebonystream.placement._rank_counts import RankCounts
from ebonystream.placement._request import PlacementRequest
from ebonystream.placement._reservation import (
    MAX_RESERVE_SHARE,
    FreeSample,
    RankDemand,
    compute_reserve,
    count_free_slots,
)
from ebonystream.placement._results import ProbeResult, Reserve

SAMPLE_AGE = Seconds(0.1)
"""Age up to which the result of a probe counts in a sample, in seconds."""

REFRESH_PERIOD = Seconds(0.25)
"""Time for which the sum of the demands of all hosts is kept, in seconds."""

NEVER = Monotonic(float('-inf'))


@attrs.frozen(kw_only=True)
class PeerDemand:
    """Demand of a rank at a service that another host has reported.

    Attributes:
        service: Name of the service.
        rank: The rank.
        demand: The demand.
        age: Time since the report was received, in seconds.
    """

    service: ServiceName
    rank: int
    demand: RankDemand
    age: Seconds


ListPeerDemands = Callable[[Monotonic], Iterable[PeerDemand]]
"""Lists what the other hosts that are alive have reported."""


def _list_no_demands(now: Monotonic) -> tuple[PeerDemand, ...]:
    return ()


@attrs.define
class _ServiceDemand:
    by_rank: dict[int, RankDemand] = attrs.field(factory=dict)
    hosts: dict[int, int] = attrs.field(factory=dict)
    age: Seconds = Seconds(0)

    def add(self, rank: int, demand: RankDemand, age: Seconds) -> None:
        """Add the demand of one host."""
        known = self.by_rank.get(rank, RankDemand())
        self.by_rank[rank] = known.add(demand)
        self.hosts[rank] = self.hosts.get(rank, 0) + 1
        self.age = max(self.age, age)


@attrs.define
class Reservations:
    """Demand by rank and fresh samples of each service.

    Attributes:
        list_peer_demands: Lists the demands that other hosts report.
        counts: This host's own recent requests.
        max_share: Largest share of the sampled slots that is reserved.
    """

    list_peer_demands: ListPeerDemands = _list_no_demands
    counts: RankCounts = attrs.field(factory=RankCounts)
    max_share: float = MAX_RESERVE_SHARE
    _demands: dict[ServiceName, _ServiceDemand] = attrs.field(factory=dict)
    _summed_at: Monotonic = NEVER
    _samples: dict[ServiceName, dict[ServerId, ProbeResult]] = attrs.field(
        factory=dict
    )

    def get_reserve(
        self, request: PlacementRequest, *, slots: int, now: Monotonic
    ) -> Reserve:
        """Return what a request leaves to more urgent ones.

        Args:
            request: The request.
            slots: Slots of all usable servers of its service.
            now: Current time on the monotonic clock, in seconds.
        """
        self._refresh_demands(now)
        known = self._demands.get(request.service, _ServiceDemand())
        return compute_reserve(
            request.get_rank(),
            known.by_rank,
            slots=slots,
            age=known.age,
            max_share=self.max_share,
        )

    def has_several_ranks(self, service: ServiceName, now: Monotonic) -> bool:
        """Return whether requests of several ranks use a service.

        Args:
            service: Name of the service.
            now: Current time on the monotonic clock, in seconds.
        """
        self._refresh_demands(now)
        known = self._demands.get(service, _ServiceDemand())
        return len(known.by_rank) > 1

    def has_more_urgent(
        self, service: ServiceName, rank: int, now: Monotonic
    ) -> bool:
        """Return whether requests that are more urgent use a service.

        Args:
            service: Name of the service.
            rank: The rank that others are compared with.
            now: Current time on the monotonic clock, in seconds.
        """
        self._refresh_demands(now)
        known = self._demands.get(service)
        return known is not None and min(known.by_rank, default=rank) < rank

    def get_start_rate(self, service: ServiceName, rank: int) -> float:
        """Return the requests of a rank that a host starts each second.

        It is the mean of the hosts that have such requests, as one host starts
        too few of them to count on.

        Args:
            service: Name of the service.
            rank: The rank.
        """
        known = self._demands.get(service, _ServiceDemand())
        started = known.by_rank.get(rank, RankDemand()).started
        return started / max(1, known.hosts.get(rank, 0))

    def sample_free_slots(
        self,
        service: ServiceName,
        results: Sequence[ProbeResult],
        now: Monotonic,
    ) -> FreeSample:
        """Count the free slots of the servers that were probed lately.

        Args:
            service: Name of the service.
            results: New results, which are kept.
            now: Current time on the monotonic clock, in seconds.
        """
        recent = {
            name: result
            for name, result in self._samples.get(service, {}).items()
            if now - result.sent_at <= SAMPLE_AGE
        }
        recent.update((result.server.entry.id, result) for result in results)
        self._samples[service] = recent
        return count_free_slots(recent.values())

    def _refresh_demands(self, now: Monotonic) -> None:
        """Add up the demands of all hosts unless that was done lately."""
        if now - self._summed_at < REFRESH_PERIOD:
            return
        self._summed_at = now
        self._demands = {}
        for (service, rank), demand in self.counts.list_current(now).items():
            self._add(service, rank, demand, Seconds(0))
        for peer in self.list_peer_demands(now):
            self._add(peer.service, peer.rank, peer.demand, peer.age)

    def _add(
        self,
        service: ServiceName,
        rank: int,
        demand: RankDemand,
        age: Seconds,
    ) -> None:
        known = self._demands.setdefault(service, _ServiceDemand())
        known.add(rank, demand, age)
