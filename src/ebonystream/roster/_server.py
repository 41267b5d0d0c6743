"""One backend server as this host knows it."""

import attrs

from ebonystream._ids import HostId, Monotonic, Seconds
from ebonystream.roster._entry import EntryState, ServerEntry

FAILURE_HALF_LIFE = Seconds(3)
"""How long until a failure counts half."""

REPORTED_FAILURE_WEIGHT = 0.7
"""How much a failure that another host saw counts here."""

NEVER = Monotonic(float('-inf'))


@attrs.define(kw_only=True, eq=False)
class KnownServer:
    """An entry, and what this host has seen of its server.

    Attributes:
        entry: The newest entry.
        first_listed_at: When this run of the server was first listed here.
        last_listed_at: When the entry was last seen in the store.
        cold_until: When it is warm, as far as anybody said.
        avoid_until: Until when nothing is sent to it but questions.
        silent_since: When it first left a question without an answer, after
            the last that it answered; None where it answers.
        leaving: Whether it showed itself that it leaves.
        in_flight: Requests of this host that it has in hand.
        last_request_at: When this host last sent a request to it.
        failures: Failed requests, fewer as time passes.
        failures_updated_at: When the failures were last brought up to date.
        reported_failures: What other hosts say of failures, by host.
    """

    entry: ServerEntry
    first_listed_at: Monotonic
    last_listed_at: Monotonic
    cold_until: Monotonic = NEVER
    avoid_until: Monotonic = NEVER
    silent_since: Monotonic | None = None
    leaving: bool = False
    in_flight: int = 0
    last_request_at: Monotonic = NEVER
    failures: float = 0
    failures_updated_at: Monotonic = NEVER
    reported_failures: dict[HostId, tuple[float, Monotonic]] = attrs.field(
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

    def update_cold_until(self, left: Seconds, now: Monotonic) -> None:
        """Take over how much longer it says that it is cold.

        Args:
            left: How much longer, in seconds.
            now: When it said so.
        """
        self.cold_until = Monotonic(now + left) if left > 0 else NEVER

    def record_failure(self, now: Monotonic, weight: float = 1) -> None:
        """Count a request that it failed.

        Args:
            now: The time.
            weight: How much the failure tells.
        """
        self.failures = self.get_own_failures(now) + weight
        self.failures_updated_at = now

    def record_reported_failures(
        self, host: HostId, failures: float, now: Monotonic
    ) -> None:
        """Take over what another host says of its failures here.

        Args:
            host: The other host.
            failures: Its failures, weighed by their age.
            now: When it said so.
        """
        self.reported_failures[host] = (failures, now)

    def get_own_failures(self, now: Monotonic) -> float:
        """Weigh the failures of this host's own requests, by their age.

        Args:
            now: The time.
        """
        return _fade(self.failures, self.failures_updated_at, now)

    def get_all_failures(self, now: Monotonic) -> float:
        """Weigh the failures that this host and others saw, by their age.

        Args:
            now: The time.
        """
        told = sum(
            _fade(failures, at, now)
            for failures, at in self.reported_failures.values()
        )
        return self.get_own_failures(now) + REPORTED_FAILURE_WEIGHT * told


def _fade(failures: float, at: Monotonic, now: Monotonic) -> float:
    if not failures:
        return 0
    half_lives = (now - at) / FAILURE_HALF_LIFE
    return float(failures / 2**half_lives)
