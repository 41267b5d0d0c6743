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
class Intervals:
    """The owned intervals of one slice; no two of them overlap.

    Attributes:
        sorted: Intervals in the order of their timestamps.
    """

    sorted: list[Interval] = attrs.field(factory=list)

    def find(self, label: EpochMs) -> Incarnation | None:
        """Return the owner of a timestamp; None if it is unowned."""
        index = bisect_right(self.sorted, label, key=_get_start) - 1
        if index < 0 or self.sorted[index].until <= label:
            return None
        return self.sorted[index].owner

    def add(self, new: Interval) -> None:
        """Add a claimed interval, except the parts that are owned already.

        Args:
            new: Claimed interval.
        """
        unowned = list(self._find_unowned(new))
        self.sorted = sorted([*self.sorted, *unowned], key=_get_start)
        self._check_disjoint()

    def cut(self, owner: Incarnation, since: EpochMs) -> None:
        """Remove an incarnation's ownership from a timestamp on.

        Args:
            owner: Incarnation that releases its ownership.
            since: First released timestamp.
        """
        self.sorted = [
            shortened
            for interval in self.sorted
            if (shortened := _shorten(interval, owner, since)) is not None
        ]

    def forget(self, before: EpochMs) -> None:
        """Evict the intervals that end at or before a timestamp."""
        self.sorted = [
            interval for interval in self.sorted if interval.until > before
        ]

    def find_end(self, label: EpochMs) -> EpochMs:
        """Return the first unowned timestamp at or after the given one."""
        end = label
        for interval in self.sorted:
            if interval.start <= end < interval.until:
                end = interval.until
        return end

    def owns_beyond(self, owner: Incarnation, label: EpochMs) -> bool:
        """Return whether an incarnation owns this or any later timestamp."""
        return any(
            interval.owner == owner and interval.until > label
            for interval in self.sorted
        )

    def _find_unowned(self, new: Interval) -> list[Interval]:
        unowned: list[Interval] = []
        start = new.start
        for existing in self.sorted:
            if existing.until <= start:
                continue
            if existing.start >= new.until:
                break
            if existing.start > start:
                unowned.append(Interval(start, existing.start, new.owner))
            start = existing.until
        if start < new.until:
            unowned.append(Interval(start, new.until, new.owner))
        return unowned

    def _check_disjoint(self) -> None:
        end = 0
        for interval in self.sorted:
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
