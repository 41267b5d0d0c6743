"""What probes may cost a backend server."""

import attrs

from ebonystream._ids import Monotonic, ServerId
from ebonystream._timers import MS_PER_SECOND


@attrs.define(kw_only=True)
class ProbeBudget:
    """Back-end time that this host may spend on probes of each server.

    Attributes:
        cost_ms: What one probe costs a server.
        budget_ms: What probes may cost a server in each second.
        spent_ms: What was spent on each server so far.
        since: When the first probe of each server was.
        next_at: When each server may be probed again.
    """

    cost_ms: float
    budget_ms: float
    spent_ms: dict[ServerId, float] = attrs.field(factory=dict)
    since: dict[ServerId, Monotonic] = attrs.field(factory=dict)
    next_at: dict[ServerId, Monotonic] = attrs.field(factory=dict)

    def spend(self, server: ServerId, now: Monotonic) -> bool:
        """Take one probe out of the budget; False where it must wait."""
        if not self.budget_ms or now < self.next_at.get(server, now):
            return False
        # One probe at a time, spaced so that no second sees more.
        spacing = max(1, self.cost_ms / self.budget_ms)
        self.next_at[server] = Monotonic(now + spacing)
        since = self.since.setdefault(server, now)
        spent = self.spent_ms.get(server, 0) + self.cost_ms
        self.spent_ms[server] = spent
        allowed = self.budget_ms * (now - since) + self.cost_ms
        assert spent <= allowed * (1 + 1 / MS_PER_SECOND), (
            f'probes of {server} cost {spent} ms, more than {allowed} ms'
        )
        return True

    def keep(self, servers: frozenset[ServerId]) -> None:
        """Forget servers that are gone.

        Args:
            servers: Every server that is known.
        """
        for kept in (self.spent_ms, self.since, self.next_at):
            for server in kept.keys() - servers:
                kept.pop(server)
