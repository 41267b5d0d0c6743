"""What the holder of the duty has collected from all hosts."""

import sys
from collections import Counter
from collections.abc import Container, Iterable, Iterator

import attrs

from ebonystream._ids import (
    HostId,
    Incarnation,
    Seconds,
    WindowNumber,
    WorkspaceName,
)
from ebonystream.usage._clock import MIN_CLOCKS, compute_clock_error
from ebonystream.usage._counted import divide_counts
from ebonystream.usage._messages import CountsMessage, WindowCounts

MAX_RUNS = 2_000
"""Number of runs of hosts whose counts are kept."""

MAX_RUN_WINDOWS = 300
"""Number of windows of one run whose counts are kept."""

MAX_RUN_WORKSPACES = 20_000
"""Number of workspaces of one run and window that are counted."""


@attrs.define
class _Run:
    """What one run of a host has sent.

    Attributes:
        lead: How far its clock is ahead of the receiver's, in seconds.
        complete_until: Time of day up to which all its counts are here.
        windows: Its counts by window.
    """

    lead: Seconds = Seconds(0)
    complete_until: float = 0
    windows: dict[WindowNumber, dict[WorkspaceName, int]] = attrs.field(
        factory=dict
    )

    def merge(self, entry: WindowCounts) -> None:
        """Merge totals; they only grow, so that the larger one is newer."""
        if entry.window not in self.windows:
            if len(self.windows) >= MAX_RUN_WINDOWS:
                return
            self.windows[entry.window] = {}
        known = self.windows[entry.window]
        for workspace, count in entry.counts.items():
            if workspace in known or len(known) < MAX_RUN_WORKSPACES:
                # One string for all runs and windows: there are 10,000s.
                name = WorkspaceName(sys.intern(workspace))
                known[name] = max(known.get(name, 0), count)


@attrs.define
class CollectedCounts:
    """Counts of all hosts by run and window.

    Totals are kept for each run of a host, so that messages which are doubled
    or overtake one another are counted once, and a restarted host adds to what
    its earlier run has sent.
    """

    _runs: dict[tuple[HostId, Incarnation], _Run] = attrs.field(factory=dict)

    def merge(self, message: CountsMessage, received_at: float) -> bool:
        """Merge the counts of a host; return False if there is no room.

        Args:
            message: What the host sent.
            received_at: Time of day of the receiver, in seconds.
        """
        key = (message.host, message.incarnation)
        run = self._runs.get(key)
        if run is None:
            if len(self._runs) >= MAX_RUNS:
                return False
            run = self._runs.setdefault(key, _Run())
        for entry in message.windows:
            run.merge(entry)
        if message.complete:
            run.lead = Seconds(message.sent_at - received_at)
            run.complete_until = max(run.complete_until, message.sent_at)
        return True

    def sum_window(self, window: WindowNumber) -> Counter[WorkspaceName]:
        """Return the requests of each workspace in a window, of all hosts.

        Args:
            window: The window.
        """
        total: Counter[WorkspaceName] = Counter()
        for run in self._runs.values():
            total.update(run.windows.get(window, {}))
        return total

    def find_missing(
        self, runs: Iterable[tuple[HostId, Incarnation]], until: float
    ) -> list[HostId]:
        """List the hosts whose counts are not complete up to a time of day.

        Args:
            runs: The runs of hosts that are alive.
            until: Seconds since the Unix epoch.
        """
        return [
            key[0]
            for key in runs
            if key not in self._runs or self._runs[key].complete_until < until
        ]

    def list_orphans(
        self, alive: Container[tuple[HostId, Incarnation]]
    ) -> list[CountsMessage]:
        """List unreported counts of runs that can't send them again.

        Args:
            alive: The runs of hosts that are alive.
        """
        return [
            message
            for key, run in self._runs.items()
            if key not in alive
            for message in _divide_run(key, run)
        ]

    def compute_own_error(self) -> Seconds:
        """Return how far the receiver's clock is ahead of most hosts'.

        Runs of which others passed on the counts say nothing about clocks.
        """
        return compute_clock_error(
            Seconds(-run.lead)
            for run in self._runs.values()
            if run.complete_until
        )

    def compute_sender_error(self, message: CountsMessage) -> Seconds:
        """Return how far the clock of a sender is ahead of most others.

        Args:
            message: A message that was merged.
        """
        run = self._runs[message.host, message.incarnation]
        # An incomplete message does not update the lead of its sender, which
        # may have corrected its clock since that was measured.
        if not message.complete or len(self._runs) < MIN_CLOCKS - 1:
            return Seconds(0)
        return Seconds(run.lead + self.compute_own_error())

    def move_clock(self, correction: Seconds) -> None:
        """Note that the receiver's clock was corrected.

        Args:
            correction: What was added to it, in seconds.
        """
        for run in self._runs.values():
            run.lead = Seconds(run.lead - correction)

    def drop_reported(self, reported: WindowNumber, before: float) -> None:
        """Drop reported windows, and runs that have sent nothing since.

        Args:
            reported: The newest reported window.
            before: Time of day; runs without counts that sent their last
                message earlier are dropped.
        """
        for key, run in list(self._runs.items()):
            run.windows = {
                window: counts
                for window, counts in run.windows.items()
                if window > reported
            }
            if not run.windows and run.complete_until < before:
                self._runs.pop(key)


def _divide_run(
    key: tuple[HostId, Incarnation], run: _Run
) -> Iterator[CountsMessage]:
    """Divide the counts of a run into messages of one window or a part of it.

    Hosts refuse larger messages.
    """
    for window, counts in run.windows.items():
        for part in divide_counts({window: counts}):
            yield CountsMessage(
                host=key[0],
                incarnation=key[1],
                sent_at=run.complete_until,
                windows=part,
                complete=False,
            )
