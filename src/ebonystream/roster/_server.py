"""State that this host keeps of one backend server."""

from collections import deque
from functools import partial

import attrs

from ebonystream._decay import decay
from ebonystream._ids import HostId, Monotonic, Seconds
from ebonystream.roster._entry import EntryState, ServerEntry
from ebonystream.roster._report import ServerNotice

FAILURE_HALF_LIFE = Seconds(3)
"""Time after which a failure counts half, in seconds."""

MAX_REFUSAL = Seconds(60)
"""Upper bound on the time for which a server that refuses a request gets
none, in seconds."""

REPORTED_FAILURE_WEIGHT = 0.7
"""Weight of a failure that another host reports, relative to one of this
host's own requests."""

MIN_FAILURES = 0.001
"""Weighted number of failures up to which a report of them is dropped."""

MAX_RECENT_REQUESTS = 16
"""Maximum number of requests whose time of sending is kept."""

NEVER = Monotonic(float('-inf'))


@attrs.define(kw_only=True, eq=False)
class KnownServer:
    """An entry, with the state of its server as seen from this host.

    Attributes:
        entry: The latest entry.
        first_listed_at: When this host first saw this run of the server in the
            store.
        last_listed_at: When this host last saw the entry in the store.
        cold_until: When its warm-up ends, according to the latest report.
        cold_confirmed: Whether the server itself reported that; its entry may
            be out of date.
        refusing_until: Until when it has asked this host to send nothing.
        avoid_until: Until when it gets health checks only, and no requests.
        silent_since: When the first unanswered health check was sent since the
            last answered one; None if the last one was answered.
        leaving: Whether it has announced that it is leaving, in its entry or
            a response, or its address belongs to another server.
        in_flight: Number of outstanding requests of this host.
        last_request_at: When this host last sent it a request.
        recent_requests: When this host sent it the latest requests.
        failures: Weighted number of failed requests, as of
            `failures_updated_at`.
        failures_updated_at: When `failures` was last updated.
        reported_failures: Weighted number of failures that other hosts
            report, and when, by host.
        unreliable: Whether its free slots were not relied on at the last check.
        reliability_checked_at: When that was last checked.
    """

    entry: ServerEntry
    first_listed_at: Monotonic
    last_listed_at: Monotonic
    cold_until: Monotonic = NEVER
    cold_confirmed: bool = False
    refusing_until: Monotonic = NEVER
    avoid_until: Monotonic = NEVER
    silent_since: Monotonic | None = None
    leaving: bool = False
    in_flight: int = 0
    last_request_at: Monotonic = NEVER
    recent_requests: deque[Monotonic] = attrs.field(
        factory=partial(deque, maxlen=MAX_RECENT_REQUESTS)
    )
    failures: float = 0
    failures_updated_at: Monotonic = NEVER
    reported_failures: dict[HostId, tuple[float, Monotonic]] = attrs.field(
        factory=dict
    )
    unreliable: bool = False
    reliability_checked_at: Monotonic = NEVER

    def is_usable(self, now: Monotonic) -> bool:
        """Return whether requests may be sent to it.

        Args:
            now: Current time on the monotonic clock, in seconds.
        """
        serving = self.entry.state is EntryState.SERVING
        is_available = now >= max(self.avoid_until, self.refusing_until)
        return serving and not self.leaving and is_available

    def update_from_notice(self, notice: ServerNotice, now: Monotonic) -> bool:
        """Update the state from what a response says about its server.

        Args:
            notice: What the response says.
            now: When the response was received.

        Returns:
            Whether it says anything new.
        """
        is_new = notice.is_leaving and not self.leaving
        self.leaving = self.leaving or notice.is_leaving
        if notice.retry_after is None:
            return is_new
        delay = min(notice.retry_after, MAX_REFUSAL)
        until = Monotonic(now + delay)
        is_new = is_new or until > self.refusing_until
        self.refusing_until = max(self.refusing_until, until)
        return is_new

    def is_cold(self, now: Monotonic) -> bool:
        """Return whether it is still warming up.

        Args:
            now: Current time on the monotonic clock, in seconds.
        """
        return now < self.cold_until

    def update_cold_until(self, left: Seconds, now: Monotonic) -> None:
        """Update the end of its warm-up from its own report.

        Args:
            left: Remaining warm-up time, in seconds.
            now: When the report was received.
        """
        self.cold_until = Monotonic(now + left) if left > 0 else NEVER
        self.cold_confirmed = True

    def update_cold_entry(self, left: Seconds, now: Monotonic) -> None:
        """Extend its warm-up by what its entry says, which may be old.

        Args:
            left: Remaining warm-up time, in seconds.
            now: When the entry was read.
        """
        if left > 0 and now + left > self.cold_until:
            self.cold_until = Monotonic(now + left)
            self.cold_confirmed = False

    def record_request(self, now: Monotonic) -> None:
        """Record that this host sends it a request.

        Args:
            now: Current time on the monotonic clock, in seconds.
        """
        self.last_request_at = now
        self.recent_requests.append(now)

    def record_failure(self, now: Monotonic, weight: float = 1) -> None:
        """Record a failed request.

        Args:
            now: Current time on the monotonic clock, in seconds.
            weight: Weight of the failure.
        """
        self.failures = self.get_own_failures(now) + weight
        self.failures_updated_at = now

    def record_reported_failures(
        self, host: HostId, failures: float, now: Monotonic
    ) -> None:
        """Record the failures of the server that another host reports.

        Args:
            host: Host that sent the report.
            failures: Number of failures of its requests, weighted by age.
            now: When the report was received.
        """
        self.reported_failures = {
            reporter: (count, at)
            for reporter, (count, at) in self.reported_failures.items()
            if _decay(count, at, now) > MIN_FAILURES
        }
        self.reported_failures[host] = (failures, now)

    def get_own_failures(self, now: Monotonic) -> float:
        """Return the failures of this host's own requests, weighted by age.

        Args:
            now: Current time on the monotonic clock, in seconds.
        """
        return _decay(self.failures, self.failures_updated_at, now)

    def get_all_failures(self, now: Monotonic) -> float:
        """Return the failures seen by this host and others, weighted by age.

        Args:
            now: Current time on the monotonic clock, in seconds.
        """
        reported = sum(
            _decay(failures, at, now)
            for failures, at in self.reported_failures.values()
        )
        return self.get_own_failures(now) + REPORTED_FAILURE_WEIGHT * reported


def _decay(failures: float, at: Monotonic, now: Monotonic) -> float:
    if not failures:
        return 0
    return decay(failures, Seconds(now - at), half_life=FAILURE_HALF_LIFE)
