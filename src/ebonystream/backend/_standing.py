"""What entry hosts tell one another of how far servers may be used."""

import sys
from collections.abc import Callable, Iterable
from random import Random

import attrs

from ebonystream._ids import BootId, Monotonic, Seconds, ServerId
from ebonystream._timers import Timers
from ebonystream.backend._directory import Directory
from ebonystream.backend._server import BackendServer
from ebonystream.backend._warmth import ServerPhase

RECENT = Seconds(2)
"""How long a change is told in each heartbeat."""

TELL_ALL = Seconds(1)
"""How long every server is told of after a peer has started."""

CHOSEN_SERVERS = 2
"""Unchanged servers told in each heartbeat."""

LARGEST_EPOCH = sys.maxsize // 2
"""An epoch above this is no epoch that was counted."""


@attrs.frozen(kw_only=True)
class Standing:
    """How far a server may be used, as one host knows it.

    Attributes:
        server: The server.
        epoch: Counts its cold starts.
        phase: Its phase in that epoch.
        boot: The run of the server that the epoch is about, if known.
    """

    server: ServerId
    epoch: int
    phase: ServerPhase
    boot: BootId | None


@attrs.define
class StandingExchange:
    """Tells peers of servers and learns from them.

    Attributes:
        directory: The servers that are known.
        timers: Tells the time.
        random: Chooses who is told of unchanged.
        dropped: Standings from peers that made no sense.
        all_until: Until when every server is told of.
    """

    directory: Directory
    timers: Timers
    random: Random
    dropped: int = 0
    all_until: Monotonic = Monotonic(0)

    def list_standings(self) -> tuple[Standing, ...]:
        """Give what the next heartbeat tells."""
        now = self.timers.now()
        servers = tuple(self.directory.servers.values())
        if now < self.all_until:
            return tuple(map(_tell, servers))
        recent = [server for server in servers if _is_recent(server, now)]
        told = {one.id: one for one in (*recent, *self._choose(servers))}
        return tuple(map(_tell, told.values()))

    def tell_all(self) -> None:
        """Tell of every server for a while, as a peer has started."""
        self.all_until = Monotonic(self.timers.now() + TELL_ALL)

    def take_standings(self, standings: Iterable[Standing]) -> None:
        """Learn what a peer's heartbeat told.

        Args:
            standings: What the heartbeat told.
        """
        for standing in standings:
            server = self.directory.servers.get(standing.server)
            if not 0 <= standing.epoch <= LARGEST_EPOCH:
                self.dropped += 1
            elif server is not None:
                self._merge(server, standing)

    def _merge(self, server: BackendServer, standing: Standing) -> None:
        server.warmth.merge(
            standing.epoch, standing.phase, standing.boot, self.timers.now()
        )

    def _choose(
        self, servers: tuple[BackendServer, ...]
    ) -> tuple[BackendServer, ...]:
        if not servers:
            return ()
        start = self.random.randrange(len(servers))
        return (servers + servers)[start : start + CHOSEN_SERVERS]


def _is_recent(server: BackendServer, now: Monotonic) -> bool:
    return now - server.warmth.changed_at < RECENT


def _tell(server: BackendServer) -> Standing:
    warmth = server.warmth
    phase = warmth.phase
    if phase is ServerPhase.WARMING:
        phase = ServerPhase.COLD
    return Standing(
        server=server.id,
        epoch=warmth.epoch,
        phase=phase,
        boot=warmth.boots.current,
    )


TakeReport = Callable[[ServerId, BootId | None], None]
"""Takes the run that a health probe named; it may be an earlier one."""


def make_report_taker(*, directory: Directory, timers: Timers) -> TakeReport:
    """Make the function that learns from health probes.

    A probe's word on the state may mislead, so nothing but a new run counts:
    it ends the draining of a server and makes it cold.

    Args:
        directory: The servers that are known.
        timers: Tells the time.
    """

    def take_report(server: ServerId, boot: BootId | None) -> None:
        known = directory.servers.get(server)
        if known is not None:
            known.warmth.note_boot(boot, timers.now())

    return take_report
