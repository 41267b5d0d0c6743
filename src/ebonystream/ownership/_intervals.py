"""Intervals of timestamps in one slice, each with its owner."""

from bisect import bisect_right

import attrs
import msgspec

from ebonystream._ids import EpochMs, Incarnation


class Interval(msgspec.Struct, frozen=True, array_like=True):
    """A half-open interval of timestamps of one slice, with its owner.

    Attributes:
        start: First timestamp of the interval.
        until: First timestamp after the interval.
        owner: Incarnation that owns the interval.
    """

    start: EpochMs
    until: EpochMs
    owner: Incarnation


@attrs.define
class SliceOwnership:
    """The owned intervals of one slice; no two of them overlap.

    Attributes:
        intervals: Intervals in the order of their timestamps.
    """

    intervals: list[Interval] = attrs.field(factory=list)

    def find_owner(self, timestamp: EpochMs) -> Incarnation | None:
        """Return the owner of a timestamp; None if it is unowned."""
        index = bisect_right(self.intervals, timestamp, key=_get_start) - 1
        if index < 0 or self.intervals[index].until <= timestamp:
            return None
        return self.intervals[index].owner

    def claim(self, claimed: Interval) -> None:
        """Add a claimed interval, except the parts that are owned already.

        Args:
            claimed: Claimed interval.
        """
        unowned = list(self._find_unowned(claimed))
        self.intervals = sorted([*self.intervals, *unowned], key=_get_start)
        self._check_disjoint()

    def release(self, owner: Incarnation, since: EpochMs) -> None:
        """Remove an incarnation's ownership from a timestamp on.

        Args:
            owner: Incarnation that releases its ownership.
            since: First released timestamp.
        """
        self.intervals = [
            shortened
            for interval in self.intervals
            if (shortened := _shorten(interval, owner, since)) is not None
        ]

    def evict(self, before: EpochMs) -> None:
        """Evict the intervals that end at or before a timestamp."""
        self.intervals = [
            interval for interval in self.intervals if interval.until > before
        ]

    def find_unowned(self, timestamp: EpochMs) -> EpochMs:
        """Return the first unowned timestamp at or after the given one."""
        end = timestamp
        for interval in self.intervals:
            if interval.start <= end < interval.until:
                end = interval.until
        return end

    def owns_from(self, owner: Incarnation, timestamp: EpochMs) -> bool:
        """Return whether an incarnation owns this or any later timestamp."""
        return any(
            interval.owner == owner and interval.until > timestamp
            for interval in self.intervals
        )

    def _find_unowned(self, claimed: Interval) -> list[Interval]:
        unowned: list[Interval] = []
        start = claimed.start
        for existing in self.intervals:
            if existing.until <= start:
                continue
            if existing.start >= claimed.until:
                break
            if existing.start > start:
                unowned.append(Interval(start, existing.start, claimed.owner))
            start = existing.until
        if start < claimed.until:
            unowned.append(Interval(start, claimed.until, claimed.owner))
        return unowned

    def _check_disjoint(self) -> None:
        end = 0
        for interval in self.intervals:
            assert end <= interval.start < interval.until, 'two owners'
            end = interval.until


def _get_start(interval: Interval) -> EpochMs:
    return interval.start


def _shorten(
    interval: Interval, owner: Incarnation, since: EpochMs
) -> Interval | None:
    if interval.owner != owner or interval.until <= since:
        return interval
    if interval.start >= since:
        return None
    return Interval(interval.start, since, owner)
