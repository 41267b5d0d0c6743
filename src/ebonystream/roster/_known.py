"""One backend server as this host knows it."""

import attrs

from ebonystream._ids import HostId, Monotonic, Seconds
from ebonystream.roster._entry import EntryState, ServerEntry

FAILURE_HALF_LIFE = Seconds(3)
"""How long until a failure counts half."""

TOLD_WEIGHT = 0.7
"""How much a failure that another host saw counts here."""

NEVER = Monotonic(float('-inf'))


@attrs.define(kw_only=True, eq=False)
class KnownServer:
    """An entry, and what this host has seen of its server.

    Attributes:
        entry: The newest entry.
        since: When this run of the server was first listed here.
        listed: When the entry was last seen in the store.
        cold_until: When it is warm, as far as anybody said.
        avoid_until: Until when nothing is sent to it but questions.
        silent_since: When it first left a question without an answer, after
            the last that it answered; None where it answers.
        leaving: Whether it showed itself that it leaves.
        in_flight: Requests of this host that it has in hand.
        last_sent: When this host last sent a request to it.
        failures: Failed requests, fewer as time passes.
        failures_at: When the failures were last brought up to date.
        told_failures: What other hosts say of failures, by host.
    """

    entry: ServerEntry
    since: Monotonic
    listed: Monotonic
    cold_until: Monotonic = NEVER
    avoid_until: Monotonic = NEVER
    silent_since: Monotonic | None = None
    leaving: bool = False
    in_flight: int = 0
    last_sent: Monotonic = NEVER
    failures: float = 0
    failures_at: Monotonic = NEVER
    told_failures: dict[HostId, tuple[float, Monotonic]] = attrs.field(
        factory=dict
    )

    def is_usable(self, now: Monotonic) -> bool:
        """Tell whether work may be sent to it.

        Args:
            now: The time.
        """
        serving = self.entry.state is EntryState.SERVING
        return serving and not self.leaving and now >= self.avoid_until

    def is_cold(self, now: Monotonic) -> bool:
        """Tell whether it is cold.

        Args:
            now: The time.
        """
        return now < self.cold_until

    def hear_cold(self, left: Seconds, now: Monotonic) -> None:
        """Take over how much longer it says that it is cold.

        Args:
            left: How much longer, in seconds.
            now: When it said so.
        """
        self.cold_until = Monotonic(now + left) if left > 0 else NEVER

    def count_failure(self, now: Monotonic, weight: float = 1) -> None:
        """Count a request that it failed.

        Args:
            now: The time.
            weight: How much the failure tells.
        """
        self.failures = self.weigh_own(now) + weight
        self.failures_at = now

    def hear_failures(
        self, host: HostId, failures: float, now: Monotonic
    ) -> None:
        """Take over what another host says of its failures here.

        Args:
            host: The other host.
            failures: Its failures, weighed by their age.
            now: When it said so.
        """
        self.told_failures[host] = (failures, now)

    def weigh_own(self, now: Monotonic) -> float:
        """Weigh the failures of this host's own requests, by their age.

        Args:
            now: The time.
        """
        return _fade(self.failures, self.failures_at, now)

    def weigh_failures(self, now: Monotonic) -> float:
        """Weigh the failures that this host and others saw, by their age.

        Args:
            now: The time.
        """
        told = sum(
            _fade(failures, at, now)
            for failures, at in self.told_failures.values()
        )
        return self.weigh_own(now) + TOLD_WEIGHT * told


def _fade(failures: float, at: Monotonic, now: Monotonic) -> float:
    if not failures:
        return 0
    half_lives = (now - at) / FAILURE_HALF_LIFE
    return float(failures / 2**half_lives)
