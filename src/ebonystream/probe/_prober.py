"""The prober: asks the servers that its own calls say nothing of."""

from collections.abc import Awaitable, Callable

import attrs

from ebonystream._ids import Monotonic, Seconds, ServerId
from ebonystream._timers import Timers
from ebonystream.backend import BackendServer, Directory
from ebonystream.probe._budget import ProbeBudget

CHECK_PERIOD = Seconds(1)

EVIDENCE_LIFE = Seconds(5)
"""A server that was heard of this lately is not probed."""

Probe = Callable[[BackendServer], Awaitable[None]]
"""Asks a server how it is; what it learns goes to the server's own state."""


@attrs.define(kw_only=True)
class Prober:
    """Which servers this host probes, and when.

    Attributes:
        directory: The servers that are known.
        budget: What probes may cost.
        is_prober: Tells whether a server's probes fall to this host.
        heard_at: When a call of this host last told of each server.
        probes: Probes so far.
        spared: Probes that free evidence made needless.
    """

    directory: Directory
    budget: ProbeBudget
    is_prober: Callable[[ServerId], bool]
    heard_at: dict[ServerId, Monotonic] = attrs.field(factory=dict)
    probes: int = 0
    spared: int = 0

    def hear(self, server: ServerId, now: Monotonic) -> None:
        """Note that a call told of a server."""
        self.heard_at[server] = now

    def list_due(self, now: Monotonic) -> list[BackendServer]:
        """Give the servers to probe now; each has paid from the budget."""
        servers = self.directory.servers
        self.budget.keep(frozenset(servers))
        for gone in self.heard_at.keys() - servers.keys():
            self.heard_at.pop(gone)
        mine = [one for one in servers.values() if self.is_prober(one.id)]
        silent = [one for one in mine if self._is_silent(one, now)]
        self.spared += len(mine) - len(silent)
        due = [one for one in silent if self.budget.spend(one.id, now)]
        self.probes += len(due)
        return due

    def _is_silent(self, server: BackendServer, now: Monotonic) -> bool:
        heard = self.heard_at.get(server.id)
        # A server that starts hears from its sponsor and bears no more.
        busy = server.in_flight or server.leaving or server.warmth.is_starting
        return not busy and (heard is None or now - heard >= EVIDENCE_LIFE)


async def probe_forever(prober: Prober, probe: Probe, timers: Timers) -> None:
    """Probe the servers that nothing is known of, one after another.

    Args:
        prober: Which servers and when.
        probe: Asks one server.
        timers: Wakes the task.
    """
    async for now in timers.subscribe(period=CHECK_PERIOD):
        for server in prober.list_due(now):
            await probe(server)
