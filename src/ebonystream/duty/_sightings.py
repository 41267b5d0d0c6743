"""What a host knows about a duty, from the topic and from other hosts."""

import attrs

from ebonystream._ids import (
    BootTime,
    FencingToken,
    HostId,
    Offset,
    Seconds,
    WindowNumber,
)
from ebonystream.duty._records import DutyRecord, Report

NO_TOKEN = FencingToken(0)
NO_WINDOW = WindowNumber(-1)
NO_HOST = HostId('')


@attrs.frozen
class KnownRecord:
    """The newest record that a host knows of, and the reported windows.

    Attributes:
        holder: Host that appended the record.
        token: Token of the record.
        end: End of the topic after the record.
        window: Newest window of which a report was appended.
        reported: Newest window whose report the service has answered.
    """

    holder: HostId = NO_HOST
    token: FencingToken = NO_TOKEN
    end: Offset = Offset(0)
    window: WindowNumber = NO_WINDOW
    reported: WindowNumber = NO_WINDOW


@attrs.define
class Sightings:
    """The newest known record and the time at which it was first seen.

    Attributes:
        newest: The newest record that this host knows of. Its windows never
            decrease, also if the store has lost its history.
        seen_at: When this host first knew of the end of the topic that it
            knows now; None before it knew any.
    """

    newest: KnownRecord = attrs.field(factory=KnownRecord)
    seen_at: BootTime | None = None
    _seen: tuple[Offset, FencingToken] | None = None
    _report: Report | None = None

    def hear(self, known: KnownRecord, now: BootTime) -> None:
        """Learn what another host knows.

        Args:
            known: The newest record that it knows of.
            now: The current time.
        """
        if (known.token, known.end) > (self.newest.token, self.newest.end):
            self.see(known.end, known.token, now)
            self._update(known)
        self._raise_windows(known)

    def record_append(
        self, record: DutyRecord, end: Offset, now: BootTime
    ) -> None:
        """Learn of a record by reading or appending it.

        Args:
            record: The record.
            end: End of the topic after it.
            now: The current time.
        """
        window = record.report.window
        known = KnownRecord(record.holder, record.token, end, window)
        self.see(end, record.token, now)
        if record.token >= self.newest.token:
            self._update(known)
        self._raise_windows(known)
        if window == self.newest.window:
            self._report = record.report

    def is_answered(self, report: Report) -> bool:
        """Return whether the service is known to have answered a report.

        Args:
            report: The report.
        """
        return self.newest.reported >= report.window

    def get_unanswered(self) -> Report | None:
        """Return the newest report if it may not have been answered.

        A report is appended only after the one before it was answered, so
        that no other can be unanswered. If this host does not have it, as the
        store lost it, its window is left out: another count might differ.
        """
        report = self._report
        if report is None or report.window != self.newest.window:
            return None
        return None if self.is_answered(report) else report

    def is_older_than(self, age: Seconds, now: BootTime) -> bool:
        """Return whether the end of the topic was seen that long ago.

        Args:
            age: The age, in seconds.
            now: The current time.
        """
        return self.seen_at is not None and now - self.seen_at >= age

    def see(self, end: Offset, token: FencingToken, now: BootTime) -> None:
        """See an end of the topic; the time of the first sighting is kept.

        Args:
            end: The end of the topic.
            token: Token of the last record.
            now: The current time.
        """
        if self._seen != (end, token):
            self._seen = (end, token)
            self.seen_at = now

    def forget_time(self) -> None:
        """Count the next sighting from its own time, as if it were the first.

        After a rejection it is in doubt who performed the duty last.
        """
        self._seen = None

    def record_report(self, window: WindowNumber) -> None:
        """Learn that the service has answered a report.

        Args:
            window: Window of the report.
        """
        reported = max(self.newest.reported, window)
        self.newest = attrs.evolve(self.newest, reported=reported)

    def _update(self, known: KnownRecord) -> None:
        self.newest = attrs.evolve(
            self.newest, holder=known.holder, token=known.token, end=known.end
        )

    def _raise_windows(self, known: KnownRecord) -> None:
        self.newest = attrs.evolve(
            self.newest,
            window=max(self.newest.window, known.window, known.reported),
            reported=max(self.newest.reported, known.reported),
        )
