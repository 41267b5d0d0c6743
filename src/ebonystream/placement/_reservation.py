"""Trunk reservation: free slots that less urgent requests leave to others.

It addresses a service whose servers cannot take all requests of several
ranks. A host sees too few requests to order them by itself, so each host
compares the free slots of a fresh sample of servers with the reserve, and
requests of lower urgency wait until the sample has more.
"""

import math
from collections.abc import Iterable, Mapping

import attrs

from ebonystream._ids import Seconds
from ebonystream.placement._estimate import get_load
from ebonystream.placement._results import ProbeResult, Reserve
from ebonystream.placement._selection import is_available
from ebonystream.roster import is_unreliable

RESERVE_FACTOR = 5.0
"""Reserved slots of a sample for the square root of those that more urgent
requests occupy in it; their number varies by about that root."""

SAMPLE_SLOTS = 30
"""Slots of the first five servers that are probed, if each has six."""

MAX_RESERVE_SHARE = 0.3
"""Largest share of the sampled slots that is reserved."""

MIN_SERVED_SHARE = 0.25
"""Share of the average service, up to which a rank does not wait for the
reserve: no rank is served less often than a quarter of the average."""

FULL_RESERVE_SHARE = 0.5
"""Share of the average service from which a rank waits for the whole reserve;
in between, the reserve grows evenly."""

NO_AGE = Seconds(0)

MIN_WORK = 0.001
"""Occupied slots below which a demand counts as none."""


@attrs.frozen(kw_only=True)
class RankDemand:
    """Recent demand of the requests of one rank at a service.

    Attributes:
        arrived: Requests per second, without those sent again.
        started: Requests per second that were sent to a server.
        work: Slots that the requests would occupy on idle servers.
    """

    arrived: float = 0
    started: float = 0
    work: float = 0

    def add(self, other: 'RankDemand') -> 'RankDemand':
        """Return the sum of this demand and another.

        Args:
            other: The other demand.
        """
        return RankDemand(
            arrived=self.arrived + other.arrived,
            started=self.started + other.started,
            work=self.work + other.work,
        )


@attrs.frozen(kw_only=True)
class FreeSample:
    """Slots of the sampled servers.

    Attributes:
        free: Slots in which a request would start at once.
        slots: All slots.
    """

    free: int
    slots: int


def compute_reserve(
    rank: int,
    demands: Mapping[int, RankDemand],
    *,
    slots: int,
    age: Seconds = NO_AGE,
    max_share: float = MAX_RESERVE_SHARE,
) -> Reserve:
    """Compute the share of free slots that a rank leaves to more urgent ones.

    Without demand of more urgent ranks, it is zero.

    Args:
        rank: Rank of the request.
        demands: Recent demand at the service by rank.
        slots: Slots of all usable servers of the service.
        age: Age of the oldest of the demands, in seconds.
        max_share: Largest share that is reserved; 0 for no reserve.
    """
    urgent_work = sum(
        demand.work for other, demand in demands.items() if other < rank
    )
    if urgent_work < MIN_WORK:
        return Reserve(share=0, urgent_work=0, age=age)
    density = urgent_work / max(1, slots)
    wanted = RESERVE_FACTOR * math.sqrt(density / SAMPLE_SLOTS)
    relief = _compute_relief(rank, demands)
    return Reserve(
        share=min(max_share, wanted) * relief,
        urgent_work=urgent_work,
        age=age,
    )


def count_free_slots(results: Iterable[ProbeResult]) -> FreeSample:
    """Count the slots of sampled servers, without those that take no request.

    A server that refuses requests looks idle, but has no free slot.

    Args:
        results: Results of the probes.
    """
    free = 0
    slots = 0
    for result in filter(is_available, results):
        if is_unreliable(result.server, result.sent_at):
            continue
        load = get_load(result)
        sent_since = result.server.last_request_at >= result.sent_at
        busy = load.running + load.waiting + sent_since
        slots += load.slots
        free += max(0, load.slots - busy)
    return FreeSample(free=free, slots=slots)


def may_start(sample: FreeSample, reserve: Reserve) -> bool:
    """Return whether a request may take one of the free slots of a sample.

    Args:
        sample: Slots of the sampled servers.
        reserve: What the request leaves to more urgent ones.
    """
    if not reserve.share:
        return True
    return sample.free - 1 >= reserve.share * sample.slots


def _compute_relief(rank: int, demands: Mapping[int, RankDemand]) -> float:
    """Compute the factor on the reserve of a rank that is served rarely."""
    own = demands.get(rank, RankDemand())
    everything = RankDemand()
    for demand in demands.values():
        everything = everything.add(demand)
    if not own.arrived or not everything.started:
        return 1
    average = everything.started / everything.arrived
    relative = own.started / own.arrived / average
    span = FULL_RESERVE_SHARE - MIN_SERVED_SHARE
    return min(1, max(0, (relative - MIN_SERVED_SHARE) / span))
