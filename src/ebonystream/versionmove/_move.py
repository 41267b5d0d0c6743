"""The state of a version move on one host."""

import enum

import attrs

from ebonystream._ids import (
    Monotonic,
    MoveId,
    RouteName,
    ServiceName,
    VersionName,
)
from ebonystream.versionmove._counts import MoveCounts, RouteCounts
from ebonystream.versionmove._stages import get_share, limit_share

NEVER = Monotonic(float('-inf'))
"""Time of an event that has not happened."""


class MoveVerdict(enum.Enum):
    """The state of a move, as decided or as reported."""

    RUNNING = 'running'
    FINISHED = 'finished'
    TAKEN_BACK = 'taken_back'


@attrs.define(kw_only=True)
class VersionMove:
    """A move of the requests of one service to another version.

    Attributes:
        id: The id of the order.
        service: The service that moves.
        version: The new version.
        began: The earliest time at which any host saw the order.
        within: The planned duration of the move, in seconds.
        verdict: The current verdict on this host.
        capacity: Usable servers of the new version per other one.
        changed: Time of the last change on this host.
        tried: When this host last failed to access the report.
        why: The reason for a rollback.
        checked: Whether this host has looked for a verdict that was reported
            earlier. The new version gets no requests before.
        reported: The verdict of the newest known report in the store.
    """

    id: MoveId
    service: ServiceName
    version: VersionName
    began: Monotonic
    within: float
    verdict: MoveVerdict = MoveVerdict.RUNNING
    capacity: float = 1
    changed: Monotonic = NEVER
    tried: Monotonic = NEVER
    why: str = ''
    checked: bool = False
    reported: MoveVerdict | None = None
    _counts: dict[RouteName, RouteCounts] = attrs.field(factory=dict)

    def get_part(self, now: Monotonic) -> float:
        """Return the elapsed share of the planned duration; may exceed 1.

        Args:
            now: The current time.
        """
        return (now - self.began) / max(self.within, 1)

    def get_share(self, now: Monotonic) -> float:
        """Return the new version's share of the requests, from 0 to 1.

        Args:
            now: The current time.
        """
        if self.verdict is MoveVerdict.FINISHED:
            return 1
        if self.verdict is MoveVerdict.TAKEN_BACK or not self.checked:
            return 0
        return limit_share(get_share(self.get_part(now)), self.capacity)

    def count(self, route: RouteName, *, new: bool, bad: bool) -> None:
        """Record an attempt that ended while the move is running.

        Args:
            route: The route of the request.
            new: Whether the attempt was at the new version.
            bad: Whether the attempt failed or was overdue.
        """
        counts = self._counts.setdefault(route, RouteCounts(route))
        counts.count(new=new, bad=bad)

    def list_counts(self) -> MoveCounts:
        """List this host's counts, by route."""
        return tuple(self._counts.values())

    def conclude(self, verdict: MoveVerdict, now: Monotonic) -> None:
        """Set the verdict on this host; the first report in the store prevails.

        Args:
            verdict: The new verdict.
            now: The current time.
        """
        self.verdict = verdict
        self.changed = now

    def settle(self, reported: MoveVerdict, now: Monotonic) -> None:
        """Apply a verdict that was reported, unless it is still running.

        Args:
            reported: The verdict of the report in the store.
            now: The current time.
        """
        self.reported = reported
        is_final = reported is not MoveVerdict.RUNNING
        if is_final and reported is not self.verdict:
            self.conclude(reported, now)
