"""Budget for health probes of each backend server."""

import attrs

from ebonystream._ids import Monotonic, ServerId
from ebonystream._timers import MS_PER_SECOND


@attrs.define(kw_only=True)
class ProbeBudget:
    """Processing time that this host's probes may use at each server.

    Attributes:
        cost_ms: Processing time of one probe, in milliseconds.
        budget_ms: Processing time that probes may use at a server in each
            second, in milliseconds; no probes are sent if it is 0.
        spent_ms: Processing time used so far, in milliseconds, by server.
        first_probe_at: When the first probe was sent, by server.
        next_at: When the next probe may be sent, by server.
    """

    cost_ms: float
    budget_ms: float
    spent_ms: dict[ServerId, float] = attrs.field(factory=dict)
    first_probe_at: dict[ServerId, Monotonic] = attrs.field(factory=dict)
    next_at: dict[ServerId, Monotonic] = attrs.field(factory=dict)

    def try_acquire(self, server: ServerId, now: Monotonic) -> bool:
        """Take one probe from the budget and return whether it was granted.

        Args:
            server: The server to probe.
            now: Current time of the monotonic clock, in seconds.
        """
        if not self.budget_ms or now < self.next_at.get(server, now):
            return False
        # At most one probe in each second, and no more than the budget allows.
        spacing = max(1, self.cost_ms / self.budget_ms)
        self.next_at[server] = Monotonic(now + spacing)
        first_at = self.first_probe_at.setdefault(server, now)
        spent = self.spent_ms.get(server, 0) + self.cost_ms
        self.spent_ms[server] = spent
        allowed = self.budget_ms * (now - first_at) + self.cost_ms
        assert spent <= allowed * (1 + 1 / MS_PER_SECOND), (
            f'probes of {server} cost {spent} ms, more than {allowed} ms'
        )
        return True

    def evict_unknown(self, servers: frozenset[ServerId]) -> None:
        """Evict servers that are no longer known.

        Args:
            servers: All known servers.
        """
        for by_server in (self.spent_ms, self.first_probe_at, self.next_at):
            for server in by_server.keys() - servers:
                by_server.pop(server)
