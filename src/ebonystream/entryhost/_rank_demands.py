"""Demand by service and rank, as hosts report it to one another."""

from collections.abc import Iterator
from functools import partial

import attrs

from ebonystream._ids import HostId, Monotonic, Seconds
from ebonystream.decisionlog import EventLogger
from ebonystream.gossip import HostFacts, HostFactTable, RankDemandFacts
from ebonystream.placement import PeerDemand, RankDemand, Reservations

UNITS = 100
"""Units of a reported figure; whole numbers take few bytes."""

MAX_REPORTED_DEMANDS = 20
"""Maximum number of demands that one host reports, the largest ones."""

MAX_HOST_RATE = 1000.0
"""Requests per second that one host can have."""

MAX_HOST_WORK = 1000.0
"""Slots that the requests of one host can occupy."""


def make_rank_demands(
    reservations: Reservations, now: Monotonic
) -> tuple[RankDemandFacts, ...]:
    """Make the report of this host's demand.

    Services whose requests all have one rank are left out.

    Args:
        reservations: The demand known to this host.
        now: Current time on the monotonic clock, in seconds.
    """
    current = reservations.counts.list_current(now).items()
    shared = [
        entry
        for entry in current
        if reservations.has_several_ranks(entry[0][0], now)
    ]
    largest = sorted(shared, key=lambda entry: -entry[1].arrived)
    return tuple(
        RankDemandFacts(
            service=service,
            rank=rank,
            arrived=round(demand.arrived * UNITS),
            started=round(demand.started * UNITS),
            work=round(demand.work * UNITS),
        )
        for (service, rank), demand in largest[:MAX_REPORTED_DEMANDS]
    )


def make_reservations(
    table: HostFactTable, log_event: EventLogger
) -> Reservations:
    """Make reservations that count the reports of the other hosts.

    Args:
        table: The newest facts of each host.
        log_event: Writes an event to the decision log.
    """
    reports = _PeerReports(table, log_event)
    return Reservations(partial(_list_demands, reports))


@attrs.define
class _PeerReports:
    """Reports of other hosts.

    Attributes:
        table: The newest facts of each host.
        log_event: Writes an event to the decision log.
        rejected: Hosts whose report is not plausible.
    """

    table: HostFactTable
    log_event: EventLogger
    rejected: set[HostId] = attrs.field(factory=set)

    def is_accepted(self, facts: HostFacts) -> bool:
        """Return whether a host's report is plausible; log each change."""
        absurd = [
            demand for demand in facts.rank_demands if not _is_plausible(demand)
        ]
        if not absurd:
            self.rejected.discard(facts.host)
            return True
        if facts.host not in self.rejected:
            self.rejected.add(facts.host)
            self.log_event(
                'rank_demand_rejected',
                host=facts.host,
                service=absurd[0].service,
                rank=absurd[0].rank,
                arrived=absurd[0].arrived / UNITS,
                work=absurd[0].work / UNITS,
            )
        return False


def _list_demands(
    reports: _PeerReports, now: Monotonic
) -> Iterator[PeerDemand]:
    for facts, age in reports.table.list_alive_with_age(now):
        is_peer = facts.host != reports.table.local_host
        if is_peer and reports.is_accepted(facts):
            for demand in facts.rank_demands[:MAX_REPORTED_DEMANDS]:
                yield _decode(demand, age)


def _decode(reported: RankDemandFacts, age: Seconds) -> PeerDemand:
    return PeerDemand(
        service=reported.service,
        rank=reported.rank,
        demand=RankDemand(
            arrived=reported.arrived / UNITS,
            started=reported.started / UNITS,
            work=reported.work / UNITS,
        ),
        age=age,
    )


def _is_plausible(demand: RankDemandFacts) -> bool:
    rate = max(demand.arrived, demand.started) / UNITS
    return rate <= MAX_HOST_RATE and demand.work / UNITS <= MAX_HOST_WORK
