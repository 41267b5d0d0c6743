"""State of a simulation run: its servers, counters and outcomes."""

from collections import Counter

import attrs
import numpy as np
import trio

from ebonystream._ids import Monotonic, Seconds, ServerId, ServiceName, ZoneName
from ebonystream.placement import RankDemand
from ebonystream.roster import KnownServer
from experiment.loads import (
    DISTURBANCE_END,
    DISTURBANCE_START,
    ZONES,
    Demand,
    Load,
)
from experiment.servers import ModelServer, make_servers

WINDOW_LENGTH = Seconds(2)
LATE_WORTH_SHARE = 0.1
"""Worth of a late response, as a share of the worth of a timely one."""


DemandReport = tuple[Monotonic, ServiceName, int, RankDemand]
"""When a demand was reported, its service and rank, and the demand."""


@attrs.frozen(kw_only=True)
class Outcome:
    """Outcome of one call, including its retry.

    Attributes:
        demand: The demand that the call belongs to.
        arrived_at: When the first request was sent.
        latency: Time until the response, in seconds, or None if not served.
    """

    demand: Demand
    arrived_at: Monotonic
    latency: Seconds | None

    def get_earned_share(self) -> float:
        """Return the earned share of the call's worth."""
        if self.latency is None:
            return 0
        return (
            1
            if self.latency <= self.demand.route.objective
            else LATE_WORTH_SHARE
        )


@attrs.define
class World:
    """State of one simulation run.

    Attributes:
        load: The simulated load.
        generator: Random number generator for arrivals, timeouts, the choice
            of a host and processing times.
        servers: The backend servers, by id.
        counts: Counters of probes (`question`), attempts (`send`), probes and
            attempts to other zones (`far question`, `far send`), requests
            without capacity (`no room`) and refusals (`refused`).
        demands: The last reports of each host, by its number.
        failures: The failing servers that each host reported last.
        outcomes: Outcome of each call.
    """

    load: Load
    generator: np.random.Generator
    servers: dict[ServerId, ModelServer] = attrs.field(init=False)
    counts: Counter[str] = attrs.field(factory=Counter)
    demands: dict[int, list[DemandReport]] = attrs.field(factory=dict)
    failures: dict[int, dict[ServerId, float]] = attrs.field(factory=dict)
    outcomes: list[Outcome] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Create the servers."""
        servers = make_servers(
            self.load.server_count, ZONES, slots=self.load.slots
        )
        self.servers = {server.entry.id: server for server in servers}

    def is_disturbed(self) -> bool:
        """Return whether the disturbance of the load is in effect."""
        return DISTURBANCE_START <= trio.current_time() < DISTURBANCE_END

    def filter_available(self, servers: list[KnownServer]) -> list[KnownServer]:
        """Return the servers that may currently receive requests.

        Args:
            servers: All servers known to a host.
        """
        if not self.is_disturbed():
            return servers
        zones_out = ZONES[: self.load.zones_out_count]
        left = round(self.load.servers_left_share * len(self.servers))
        remaining = set(list(self.servers)[:left])
        return [
            server
            for server in servers
            if server.entry.zone not in zones_out
            and server.entry.id in remaining
        ]

    async def disturb_servers(self) -> None:
        """Let servers be slow, or refuse, for the length of the disturbance."""
        servers = list(self.servers.values())
        slow_servers = servers[
            : round(self.load.slow_server_share * len(servers))
        ]
        refusing = servers[: round(self.load.refusing_share * len(servers))]
        await trio.sleep_until(DISTURBANCE_START)
        for server in slow_servers:
            server.pace = self.load.slowdown
        for server in refusing:
            server.refuses = True
        await trio.sleep_until(DISTURBANCE_END)
        for server in slow_servers:
            server.pace = 1
        for server in refusing:
            server.refuses = False


def get_host_zone(host_number: int) -> ZoneName:
    """Return the availability zone of an entry host."""
    return ZoneName(ZONES[host_number % len(ZONES)])
