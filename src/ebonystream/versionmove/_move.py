"""The state of a version move on one host."""

import enum
from collections.abc import Mapping

import attrs

from ebonystream._ids import (
    HostId,
    Monotonic,
    MoveId,
    RouteName,
    ServiceName,
    VersionName,
)
from ebonystream.versionmove._counts import (
    AttemptOutcome,
    MoveCounts,
    RouteCounts,
)
from ebonystream.versionmove._evaluation import HOLD_WEALTH, find_fault
from ebonystream.versionmove._evidence import MoveEvidence
from ebonystream.versionmove._stages import (
    MAX_SHARE_ON_HOLD,
    get_evidence_share,
    get_exposure_share,
    get_scheduled_share,
    limit_share,
)

NEVER = Monotonic(float('-inf'))
"""Time of an event that has not happened."""


class MoveVerdict(enum.Enum):
    """The state of a move, as decided or as reported."""

    RUNNING = 'running'
    FINISHED = 'finished'
    ROLLED_BACK = 'taken_back'


@attrs.define(kw_only=True)
class VersionMove:
    """A move of the requests of one service to another version.

    Attributes:
        id: The id of the order.
        service: The service that moves.
        version: The new version.
        started_at: The earliest time at which any host saw the order.
        duration: The planned duration of the move, in seconds.
        verdict: The current verdict on this host.
        capacity_ratio: Usable servers of the new version per usable server of
            any other version.
        verdict_changed_at: Time of the last change on this host.
        report_failed_at: When this host last failed to access the report.
        rollback_reason: The reason for a rollback.
        store_checked: Whether this host has looked for a verdict that was
            reported earlier. The new version gets no requests before.
        reported_verdict: The verdict of the newest known report in the store.
        evidence: The attempts of all hosts that this host knows of.
        is_on_hold: Whether evidence against the new version limits its share.
    """

    id: MoveId
    service: ServiceName
    version: VersionName
    started_at: Monotonic
    duration: float
    verdict: MoveVerdict = MoveVerdict.RUNNING
    capacity_ratio: float = 1
    verdict_changed_at: Monotonic = NEVER
    report_failed_at: Monotonic = NEVER
    rollback_reason: str = ''
    store_checked: bool = False
    reported_verdict: MoveVerdict | None = None
    evidence: MoveEvidence = attrs.field(factory=MoveEvidence)
    is_on_hold: bool = False
    _counts: dict[RouteName, RouteCounts] = attrs.field(factory=dict)

    def get_progress(self, now: Monotonic) -> float:
        """Return the elapsed share of the planned duration; may exceed 1.

        Args:
            now: The current time.
        """
        return (now - self.started_at) / max(self.duration, 1)

    def get_traffic_share(self, now: Monotonic) -> float:
        """Return the new version's share of the requests, from 0 to 1.

        Args:
            now: The current time.
        """
        if self.verdict is MoveVerdict.FINISHED:
            return 1
        if self.verdict is MoveVerdict.ROLLED_BACK or not self.store_checked:
            return 0
        progress = self.get_progress(now)
        share = min(
            get_scheduled_share(progress),
            get_evidence_share(self.evidence.attempts, self.evidence.expected),
            get_exposure_share(progress, self.evidence.requests),
        )
        if self.is_on_hold:
            share = min(share, MAX_SHARE_ON_HOLD)
        return limit_share(share, self.capacity_ratio)

    def evaluate(
        self, counts_by_host: Mapping[HostId, MoveCounts], now: Monotonic
    ) -> bool:
        """Evaluate a running move; return whether it was rolled back.

        Args:
            counts_by_host: The counts of all hosts since the move began.
            now: The current time.
        """
        share = self.get_traffic_share(now)
        self.evidence.update(counts_by_host, share=share, now=now)
        self.is_on_hold = self.evidence.get_wealth() >= HOLD_WEALTH
        fault = find_fault(self.evidence, self.get_progress(now))
        if fault is None:
            return False
        self.rollback_reason = fault
        self.change_verdict(MoveVerdict.ROLLED_BACK, now)
        return True

    def record_attempt(
        self, route: RouteName, *, new: bool, outcome: AttemptOutcome
    ) -> None:
        """Record an attempt that ended while the move is running.

        Args:
            route: The route of the request.
            new: Whether the attempt was at the new version.
            outcome: How the attempt ended.
        """
        counts = self._counts.setdefault(route, RouteCounts(route))
        counts.record_attempt(new=new, outcome=outcome)

    def list_counts(self) -> MoveCounts:
        """List this host's counts, by route."""
        return tuple(self._counts.values())

    def change_verdict(self, verdict: MoveVerdict, now: Monotonic) -> None:
        """Set the verdict on this host; the first report in the store prevails.

        Args:
            verdict: The new verdict.
            now: The current time.
        """
        self.verdict = verdict
        self.verdict_changed_at = now

    def apply_report(self, reported: MoveVerdict, now: Monotonic) -> None:
        """Apply a reported verdict, which takes effect here unless RUNNING.

        Args:
            reported: The verdict of the report in the store.
            now: The current time.
        """
        self.reported_verdict = reported
        is_final = reported is not MoveVerdict.RUNNING
        if is_final and reported is not self.verdict:
            self.change_verdict(reported, now)
