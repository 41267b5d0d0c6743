"""What one host has counted, until its windows are reported."""

from collections import Counter
from collections.abc import Iterator, Mapping

import attrs

from ebonystream._ids import HostId, WindowNumber, WorkspaceName
from ebonystream.usage._messages import WindowCounts

MAX_WINDOWS = 240
"""Number of windows that a host keeps while no reports are accepted; older
counts are dropped, so that memory stays bounded."""

MAX_PART_BYTES = 5_000
"""Size of the counts in one message, about; hosts accept requests of 8 KiB."""

ITEM_BYTES = 8
"""Bytes that a count takes besides the name of its workspace, at most."""


@attrs.frozen
class Untold:
    """Counts that a host has not been told.

    Attributes:
        parts: The counts, in parts of bounded size; at least one, which may be
            empty.
        totals: Total count of each window among them.
    """

    parts: tuple[tuple[WindowCounts, ...], ...]
    totals: Mapping[WindowNumber, int]


@attrs.define
class HostCounts:
    """Requests of each workspace, by window.

    Attributes:
        windows: Counts by window.
        dropped: Number of requests whose window was reported before or that
            were dropped to bound the memory.
    """

    windows: dict[WindowNumber, Counter[WorkspaceName]] = attrs.field(
        factory=dict
    )
    dropped: int = 0
    _told: dict[WindowNumber, int] = attrs.field(factory=dict)
    _told_host: HostId | None = None
    _reported: WindowNumber = WindowNumber(-1)

    def add(self, window: WindowNumber, workspace: WorkspaceName) -> None:
        """Count one request.

        Args:
            window: Window in which a server may have begun to run it.
            workspace: Workspace of the request.
        """
        if window <= self._reported:
            self.dropped += 1
            return
        self.windows.setdefault(window, Counter())[workspace] += 1
        if len(self.windows) > MAX_WINDOWS:
            self._drop(min(self.windows))

    def drop_reported(self, reported: WindowNumber) -> None:
        """Drop the windows that are reported.

        Args:
            reported: The newest reported window.
        """
        self._reported = max(self._reported, reported)
        passed = [window for window in self.windows if window <= reported]
        for window in passed:
            self.windows.pop(window)
            self._told.pop(window, None)

    def count_unreported(self) -> int:
        """Return the number of requests in windows not reported yet."""
        return sum(counts.total() for counts in self.windows.values())

    def list_all(self) -> tuple[WindowCounts, ...]:
        """List all counts that are not reported."""
        return _make_part(self.windows)

    def list_untold(self, holder: HostId) -> Untold:
        """List what a host has not been told.

        Args:
            holder: Host that the counts are sent to. All unreported counts are
                sent to a new one.
        """
        if holder != self._told_host:
            self._told.clear()
            self._told_host = holder
        changed = {
            window: counts
            for window, counts in sorted(self.windows.items())
            if counts.total() > self._told.get(window, 0)
        }
        parts = tuple(divide_counts(changed))
        totals = {window: counts.total() for window, counts in changed.items()}
        return Untold(parts or ((),), totals)

    def mark_told(self, holder: HostId, untold: Untold) -> None:
        """Note that a host has received all parts.

        Args:
            holder: The host.
            untold: The counts.
        """
        if holder == self._told_host:
            self._told.update(untold.totals)

    def _drop(self, window: WindowNumber) -> None:
        self.dropped += self.windows.pop(window).total()
        self._told.pop(window, None)


def divide_counts(
    windows: Mapping[WindowNumber, Mapping[WorkspaceName, int]],
) -> Iterator[tuple[WindowCounts, ...]]:
    """Divide counts into parts that fit into one message each.

    Args:
        windows: The counts by window.
    """
    part: dict[WindowNumber, dict[WorkspaceName, int]] = {}
    size = 0
    for window, counts in windows.items():
        for workspace, count in counts.items():
            size += ITEM_BYTES + len(workspace.encode())
            if part and size > MAX_PART_BYTES:
                yield _make_part(part)
                part = {}
                size = ITEM_BYTES + len(workspace.encode())
            part.setdefault(window, {})[workspace] = count
    if part:
        yield _make_part(part)


def _make_part(
    windows: Mapping[WindowNumber, Mapping[WorkspaceName, int]],
) -> tuple[WindowCounts, ...]:
    return tuple(
        WindowCounts(window, dict(counts)) for window, counts in windows.items()
    )
