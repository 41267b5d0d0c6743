"""One version move, as one host carries it out."""

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


class MoveVerdict(enum.Enum):
    """How a move stands."""

    RUNNING = 'running'
    FINISHED = 'finished'
    TAKEN_BACK = 'taken_back'


@attrs.define(kw_only=True)
class VersionMove:
    """A move of one service to a version.

    Attributes:
        id: Names the order.
        service: The service.
        version: The version that takes over.
        began: When it was ordered, as far as any host knows.
        within: How long it may take, in seconds.
        verdict: How it stands.
        capacity: Servers of the new version for each other one.
        changed: When the verdict last changed here.
        tried: When this host last failed to report it.
        why: Why it was taken back.
        checked: Whether it is known if an earlier verdict was reported.
        reported: How it stands by the newest report in the store.
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
        """Give which part of its time is over.

        Args:
            now: The time.
        """
        return (now - self.began) / max(self.within, 1)

    def get_share(self, now: Monotonic) -> float:
        """Give the new version's share of the service's requests.

        Args:
            now: The time.
        """
        if self.verdict is MoveVerdict.FINISHED:
            return 1
        if self.verdict is MoveVerdict.TAKEN_BACK or not self.checked:
            return 0
        return limit_share(get_share(self.get_part(now)), self.capacity)

    def count(self, route: RouteName, *, new: bool, bad: bool) -> None:
        """Count an attempt that ended while the move runs.

        Args:
            route: Its route.
            new: Whether it was at the new version.
            bad: Whether it failed or took much too long.
        """
        counted = self._counts.setdefault(route, RouteCounts(route))
        counted.count(new=new, bad=bad)

    def list_counts(self) -> MoveCounts:
        """List what this host counted."""
        return tuple(self._counts.values())

    def conclude(self, verdict: MoveVerdict, now: Monotonic) -> None:
        """End the move here; the first report in the store still counts.

        Args:
            verdict: How it ends.
            now: The time.
        """
        self.verdict = verdict
        self.changed = now

    def settle(self, reported: MoveVerdict, now: Monotonic) -> None:
        """Take a verdict over that was reported.

        Args:
            reported: What stands in the store.
            now: The time.
        """
        self.reported = reported
        final = reported is not MoveVerdict.RUNNING
        if final and reported is not self.verdict:
            self.conclude(reported, now)
