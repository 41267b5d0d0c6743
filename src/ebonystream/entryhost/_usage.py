"""State of usage reporting on one host, and what gossip tells of it."""

from collections.abc import Awaitable, Callable

import attrs

from ebonystream._ids import (
    BootTime,
    FencingToken,
    HostId,
    Incarnation,
    Seconds,
    WindowNumber,
    WorkspaceName,
)
from ebonystream._timers import MS_PER_SECOND, Timers
from ebonystream.duty import DutyHolder, KnownRecord, Lease, LeaseTimes, Role
from ebonystream.entryhost._settings import HostSettings
from ebonystream.gossip import DutyFacts
from ebonystream.usage import (
    CollectedCounts,
    CountedRequests,
    CountsMessage,
    HostCounts,
    UsageSchedule,
    WindowClock,
    WindowCounts,
)

SILENCE = Seconds(2.5)
"""How long other hosts do not hear from a host before they take it for lost,
in seconds."""

MAX_AHEAD = Seconds(3600)
"""How far ahead of the own clock a reported window may be, in seconds. One that
is further ahead would make all hosts drop their counts."""

MAX_CATCH_UP = 120
"""Number of windows that are reported late; older ones are left out."""

LastTask = Callable[[], Awaitable[None]]
"""Sends what would be lost with this host; ends in bounded time."""


@attrs.frozen
class Relay:
    """Counts of a host that were passed on.

    Attributes:
        target: Host that received them.
        host: Host that had counted.
        incarnation: Its run.
        window: Their window.
        first: First workspace of the part of the counts.
    """

    target: HostId
    host: HostId
    incarnation: Incarnation
    window: WindowNumber
    first: WorkspaceName


@attrs.define(kw_only=True)
class UsageReporting:
    """State of usage reporting on one host.

    Attributes:
        duty: The decisions on the duty.
        schedule: When counts are sent and windows are reported.
        counted: What this host has counted.
        collected: What this host has collected from all hosts; used while it
            holds the duty.
        counted_requests: Open requests that were counted.
        refused_hosts: Hosts whose newest facts on the duty are absurd.
        relayed: Counts of other hosts that were passed on, until reported.
        elected: Host that should hold the duty; None if none is known.
        deputy: Host that should hold it if that one is lost.
        role: What is expected of this host.
        role_since: When the role began.
    """

    duty: DutyHolder
    schedule: UsageSchedule
    counted: HostCounts = attrs.field(factory=HostCounts)
    collected: CollectedCounts = attrs.field(factory=CollectedCounts)
    counted_requests: CountedRequests = attrs.field(factory=CountedRequests)
    refused_hosts: set[HostId] = attrs.field(factory=set)
    relayed: set[Relay] = attrs.field(factory=set)
    elected: HostId | None = None
    deputy: HostId | None = None
    role: Role = Role.NONE
    role_since: BootTime = BootTime(0)

    def change_role(self, role: Role, now: BootTime) -> None:
        """Change what is expected of this host.

        Args:
            role: The new role.
            now: The current time.
        """
        if role is not self.role:
            self.role = role
            self.role_since = now

    def make_message(
        self, now: BootTime, part: tuple[WindowCounts, ...], *, complete: bool
    ) -> CountsMessage:
        """Make the message that carries counts of this host.

        Args:
            now: The current time.
            part: The counts.
            complete: Whether nothing else is left to send.
        """
        return CountsMessage(
            host=self.duty.name,
            incarnation=self.duty.incarnation,
            sent_at=self.schedule.clock.read(now),
            windows=part,
            complete=complete,
        )

    def collect_own(self, now: BootTime) -> None:
        """Merge the counts of this host into those of all hosts.

        Args:
            now: The current time.
        """
        message = self.make_message(now, self.counted.list_all(), complete=True)
        self.collected.merge(message, message.sent_at)

    def drop_reported(self, now: BootTime) -> None:
        """Drop the counts of windows that are reported, or never will be.

        Args:
            now: The current time.
        """
        reported = self.duty.sightings.newest.reported
        self.counted.drop_reported(reported)
        self.relayed = {
            relay for relay in self.relayed if relay.window > reported
        }
        time_of_day = self.schedule.clock.read(now)
        window = self.schedule.clock.get_window(time_of_day)
        # The counts of all hosts over a long outage would fill the memory, and
        # leave no room for those that are still to be reported.
        passed = WindowNumber(max(reported, window - MAX_CATCH_UP - 1))
        self.collected.drop_reported(passed, time_of_day - self.schedule.late)

    def make_facts(self, now: BootTime) -> DutyFacts:
        """Make the facts that this host tells the others.

        Args:
            now: The current time.
        """
        known = self.duty.sightings.newest
        return DutyFacts(
            acting=self.role is Role.HOLDER,
            unfit=now < self.duty.retries.unfit_until,
            holder=known.holder,
            token=known.token,
            end=known.end,
            window=known.window,
            reported=known.reported,
        )

    def hear(self, facts: DutyFacts, now: BootTime) -> bool:
        """Learn what another host knows; return False if it is absurd.

        Args:
            facts: Its facts.
            now: The current time.
        """
        clock = self.schedule.clock
        latest = clock.get_window(clock.read(now) + MAX_AHEAD)
        if max(facts.window, facts.reported) > latest:
            return False
        self.duty.sightings.hear(
            KnownRecord(
                holder=facts.holder,
                token=facts.token,
                end=facts.end,
                window=facts.window,
                reported=facts.reported,
            ),
            now,
        )
        return True

    def is_sole_since(self, at: BootTime) -> bool:
        """Return whether nobody else can have held the duty at a time.

        Other hosts act only after they have missed this one for a while, and
        have waited for its lease. A host that was frozen or cut off has a new
        role afterwards.

        Args:
            at: The time.
        """
        least = SILENCE + self.duty.lease.times.wait
        return self.role is Role.HOLDER and at - self.role_since >= least

    def get_least_token(self, now: BootTime) -> FencingToken:
        """Return a lower bound on new tokens, from the time of day.

        Args:
            now: The current time.
        """
        return FencingToken(int(self.schedule.clock.read(now)))


def make_usage_reporting(
    settings: HostSettings, incarnation: Incarnation, timers: Timers
) -> UsageReporting | None:
    """Make the state of usage reporting; None if it is not asked for.

    Args:
        settings: Settings of the host.
        incarnation: Incarnation of the host.
        timers: Source of the current time.
    """
    usage = settings.usage
    if usage is None:
        return None
    time_of_day = Seconds(timers.wall_ms() / MS_PER_SECOND)
    clock = WindowClock(usage.window, time_of_day - timers.boot_now())
    return UsageReporting(
        duty=DutyHolder(
            name=settings.name,
            incarnation=incarnation,
            lease=Lease(LeaseTimes(usage.lease)),
        ),
        schedule=UsageSchedule(clock, usage.late),
    )
