"""Reports that simulated hosts make to one another, with their delay."""

from ebonystream._ids import HostId, Monotonic, Seconds
from ebonystream._timers import Timers
from ebonystream.entryhost._gossip import MIN_REPORTED_FAILURES
from ebonystream.placement import PeerDemand, Reservations
from ebonystream.roster import Roster
from experiment.world import World

GOSSIP_PERIOD = Seconds(1)
"""Interval at which a host reports to the others."""


async def exchange_reports(
    world: World,
    number: int,
    *,
    roster: Roster,
    reservations: Reservations,
    timers: Timers,
) -> None:
    """Report demand and failing servers periodically until the load ends.

    Args:
        world: State of the simulation run.
        number: Number of the host.
        roster: Backend servers known to the host.
        reservations: Demand known to the host.
        timers: Source of the current time.
    """
    async for now in timers.subscribe(period=GOSSIP_PERIOD):
        if now > world.load.duration:
            return
        world.demands[number] = [
            (now, service, rank, demand)
            for (service, rank), demand in (
                reservations.counts.list_current(now).items()
            )
        ]
        _exchange_failures(world, number, roster, now)


def list_peer_demands(
    world: World, number: int, now: Monotonic
) -> list[PeerDemand]:
    """List the reports of the other hosts.

    Args:
        world: State of the simulation run.
        number: Number of the host that lists them.
        now: Current time, in seconds.
    """
    return [
        PeerDemand(
            service=service,
            rank=rank,
            demand=demand,
            age=Seconds(now - sent_at),
        )
        for other, reports in world.demands.items()
        for sent_at, service, rank, demand in reports
        if _is_visible(world, number, other)
    ]


def _exchange_failures(
    world: World, number: int, roster: Roster, now: Monotonic
) -> None:
    """Report failing servers and read the reports of the other hosts."""
    own = {
        name: server.get_own_failures(now)
        for name, server in roster.servers.items()
    }
    world.failures[number] = {
        name: failures
        for name, failures in own.items()
        if failures >= MIN_REPORTED_FAILURES
    }
    for other, failing in world.failures.items():
        if not _is_visible(world, number, other):
            continue
        for name, failures in failing.items():
            roster.servers[name].record_reported_failures(
                HostId(str(other)), failures, now
            )


def _is_visible(world: World, number: int, other: int) -> bool:
    """Return whether the reports of another host reach a host."""
    parts = world.load.gossip_parts
    return other != number and other % parts == number % parts
