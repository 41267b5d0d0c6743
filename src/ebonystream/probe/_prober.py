"""Health probes of the servers that have not responded to calls recently."""

from collections.abc import Awaitable, Callable

import attrs

from ebonystream._ids import Monotonic, Seconds, ServerId
from ebonystream._timers import Timers
from ebonystream.backend import BackendServer, Directory
from ebonystream.probe._budget import ProbeBudget

CHECK_PERIOD = Seconds(1)

RECENT_RESPONSE_WINDOW = Seconds(5)
"""How long a server is not probed after it has responded to a call."""

Probe = Callable[[BackendServer], Awaitable[None]]
"""Probes a server and updates the state of the server with the result."""


@attrs.define(kw_only=True)
class Prober:
    """Selects the servers that this host probes.

    Attributes:
        directory: The known servers.
        budget: Limits the probes of each server.
        is_prober: Returns whether this host is the one that probes a server.
        responded_at: When this host last received a response to a call, by
            server.
        probe_count: Number of probes so far.
        skipped_count: Number of probes that were not needed, because the server
            was busy, starting or leaving, or had responded recently.
    """

    directory: Directory
    budget: ProbeBudget
    is_prober: Callable[[ServerId], bool]
    responded_at: dict[ServerId, Monotonic] = attrs.field(factory=dict)
    probe_count: int = 0
    skipped_count: int = 0

    def record_response(self, server: ServerId, now: Monotonic) -> None:
        """Record that a server has responded to a call.

        Args:
            server: The server.
            now: Current time of the monotonic clock, in seconds.
        """
        self.responded_at[server] = now

    def list_due(self, now: Monotonic) -> list[BackendServer]:
        """Return the servers to probe now, after taking them from the budget.

        Args:
            now: Current time of the monotonic clock, in seconds.
        """
        servers = self.directory.servers
        self.budget.evict_unknown(frozenset(servers))
        for removed in self.responded_at.keys() - servers.keys():
            self.responded_at.pop(removed)
        assigned = [
            server for server in servers.values() if self.is_prober(server.id)
        ]
        idle = [server for server in assigned if self._is_idle(server, now)]
        self.skipped_count += len(assigned) - len(idle)
        due = [
            server for server in idle if self.budget.try_acquire(server.id, now)
        ]
        self.probe_count += len(due)
        return due

    def _is_idle(self, server: BackendServer, now: Monotonic) -> bool:
        responded_at = self.responded_at.get(server.id)
        # A starting server gets calls of its sponsor and has no spare capacity.
        busy = (
            server.in_flight or server.leaving or server.lifecycle.is_starting
        )
        return not busy and (
            responded_at is None or now - responded_at >= RECENT_RESPONSE_WINDOW
        )


async def probe_forever(prober: Prober, probe: Probe, timers: Timers) -> None:
    """Probe the servers that are due, one after another, without end.

    Args:
        prober: Selects the servers.
        probe: Probes one server.
        timers: Starts each round of probes.
    """
    async for now in timers.subscribe(period=CHECK_PERIOD):
        for server in prober.list_due(now):
            await probe(server)
