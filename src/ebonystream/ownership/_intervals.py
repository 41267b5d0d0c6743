"""Who owns one slice, for which labels."""

from bisect import bisect_right

import attrs
import msgspec

from ebonystream._ids import EpochMs, Incarnation


class Interval(msgspec.Struct, frozen=True, array_like=True):
    """Labels of one slice that one incarnation owns.

    Attributes:
        start: The first label.
        until: The label after the last.
        owner: Who owns them.
    """

    start: EpochMs
    until: EpochMs
    owner: Incarnation


@attrs.define
class Intervals:
    """The intervals of one slice: sorted, and no two overlap.

    Attributes:
        sorted: The intervals by their first label.
    """

    sorted: list[Interval] = attrs.field(factory=list)

    def find(self, label: EpochMs) -> Incarnation | None:
        """Give the owner of a label, if it has one."""
        at = bisect_right(self.sorted, label, key=_get_start) - 1
        if at < 0 or self.sorted[at].until <= label:
            return None
        return self.sorted[at].owner

    def add(self, new: Interval) -> None:
        """Take in a claim, for those of its labels that nobody owns.

        Args:
            new: What is claimed.
        """
        free = list(self._find_free(new))
        self.sorted = sorted([*self.sorted, *free], key=_get_start)
        self._check()

    def cut(self, owner: Incarnation, since: EpochMs) -> None:
        """End what an incarnation owns at a label.

        Args:
            owner: Who gives up.
            since: The first label that it gives up.
        """
        self.sorted = [
            shortened
            for interval in self.sorted
            if (shortened := _shorten(interval, owner, since)) is not None
        ]

    def forget(self, before: EpochMs) -> None:
        """Drop the intervals that end before a label."""
        self.sorted = [one for one in self.sorted if one.until > before]

    def find_end(self, label: EpochMs) -> EpochMs:
        """Give the first label at or after this one that nobody owns."""
        end = label
        for interval in self.sorted:
            if interval.start <= end < interval.until:
                end = interval.until
        return end

    def owns_beyond(self, owner: Incarnation, label: EpochMs) -> bool:
        """Tell whether an incarnation owns any label from this one on."""
        return any(
            one.owner == owner and one.until > label for one in self.sorted
        )

    def _find_free(self, new: Interval) -> list[Interval]:
        free: list[Interval] = []
        start = new.start
        for old in self.sorted:
            if old.until <= start:
                continue
            if old.start >= new.until:
                break
            if old.start > start:
                free.append(Interval(start, old.start, new.owner))
            start = old.until
        if start < new.until:
            free.append(Interval(start, new.until, new.owner))
        return free

    def _check(self) -> None:
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
