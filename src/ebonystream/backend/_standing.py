"""Phases of backend servers that entry hosts exchange in heartbeats."""

import sys
from collections.abc import Callable, Iterable
from random import Random

import attrs

from ebonystream._ids import BootId, Monotonic, Seconds, ServerId
from ebonystream._timers import Timers
from ebonystream.backend._directory import Directory
from ebonystream.backend._lifecycle import ServerPhase
from ebonystream.backend._server import BackendServer

RECENT_CHANGE_WINDOW = Seconds(2)
"""How long a changed server is included in each heartbeat."""

ALL_SERVERS_DURATION = Seconds(1)
"""How long heartbeats include all servers after a peer has started."""

UNCHANGED_PER_HEARTBEAT = 2
"""Servers in each heartbeat that are included even if they are unchanged."""

MAX_EPOCH = sys.maxsize // 2
"""Upper bound on epochs of peers; counting from 0 never reaches it."""


@attrs.frozen(kw_only=True)
class Standing:
    """Phase of a server as known to one host.

    Attributes:
        server: The server.
        epoch: Number of its cold starts.
        phase: Its phase in that epoch.
        boot: Boot id of the incarnation that the epoch refers to, if known.
    """

    server: ServerId
    epoch: int
    phase: ServerPhase
    boot: BootId | None


@attrs.define
class StandingExchange:
    """Lists the phases of servers for peers and merges those of peers.

    Attributes:
        directory: The known servers.
        timers: Source of the current time.
        random: Selects the servers that are included even if unchanged.
        dropped: Number of malformed standings received from peers.
        include_all_until: Until when heartbeats include all servers.
    """

    directory: Directory
    timers: Timers
    random: Random
    dropped: int = 0
    include_all_until: Monotonic = Monotonic(0)

    def list_standings(self) -> tuple[Standing, ...]:
        """Return the standings for the next heartbeat.

        They cover the recently changed servers and a few at random, or all
        servers if a peer has just started.
        """
        now = self.timers.now()
        servers = tuple(self.directory.servers.values())
        if now < self.include_all_until:
            return tuple(map(_make_standing, servers))
        recent = [server for server in servers if _is_recent(server, now)]
        selected = {
            listed.id: listed for listed in (*recent, *self._sample(servers))
        }
        return tuple(map(_make_standing, selected.values()))

    def include_all(self) -> None:
        """Include all servers for a while, as a peer has started."""
        self.include_all_until = Monotonic(
            self.timers.now() + ALL_SERVERS_DURATION
        )

    def merge_standings(self, standings: Iterable[Standing]) -> None:
        """Merge the standings of a peer's heartbeat into the known servers.

        Args:
            standings: The standings; those with an invalid epoch are dropped.
        """
        for standing in standings:
            server = self.directory.servers.get(standing.server)
            if not 0 <= standing.epoch <= MAX_EPOCH:
                self.dropped += 1
            elif server is not None:
                self._merge(server, standing)

    def _merge(self, server: BackendServer, standing: Standing) -> None:
        server.lifecycle.merge(
            standing.epoch, standing.phase, standing.boot, self.timers.now()
        )

    def _sample(
        self, servers: tuple[BackendServer, ...]
    ) -> tuple[BackendServer, ...]:
        if not servers:
            return ()
        start = self.random.randrange(len(servers))
        return (servers + servers)[start : start + UNCHANGED_PER_HEARTBEAT]


def _is_recent(server: BackendServer, now: Monotonic) -> bool:
    return now - server.lifecycle.changed_at < RECENT_CHANGE_WINDOW


def _make_standing(server: BackendServer) -> Standing:
    lifecycle = server.lifecycle
    phase = lifecycle.phase
    if phase is ServerPhase.WARMING:
        phase = ServerPhase.COLD
    return Standing(
        server=server.id,
        epoch=lifecycle.epoch,
        phase=phase,
        boot=lifecycle.boots.current,
    )


RecordProbe = Callable[[ServerId, BootId | None], None]
"""Records the boot id from a health probe; it may be an earlier one."""


def make_probe_recorder(*, directory: Directory, timers: Timers) -> RecordProbe:
    """Make the function that records the results of health probes.

    The state that a probe reports may be wrong, so that only a new boot id
    counts: it ends the draining of a server and makes it cold.

    Args:
        directory: The known servers.
        timers: Source of the current time.
    """

    def record_probe(server: ServerId, boot: BootId | None) -> None:
        known = directory.servers.get(server)
        if known is not None:
            known.lifecycle.record_boot(boot, timers.now())

    return record_probe
