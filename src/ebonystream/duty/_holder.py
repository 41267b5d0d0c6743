"""Decisions of one host about a duty: who acts, with which token, and when.

Pure: the caller performs each step and reports its result; before it sends an
append it calls `lease.begin_append`. Time is that since the boot of the
machine, so that a host that was frozen or suspended knows that its lease has
ended.
"""

import enum
from collections.abc import Callable

import attrs

from ebonystream._ids import (
    BootTime,
    FencingToken,
    HostId,
    Incarnation,
    Offset,
    WindowNumber,
)
from ebonystream.duty._lease import Lease
from ebonystream.duty._records import (
    AppendRecord,
    CallResult,
    DutyRecord,
    ReadTopic,
    Report,
    Rest,
    SendReport,
    Step,
    TopicTail,
)
from ebonystream.duty._retries import Retries
from ebonystream.duty._sightings import NO_TOKEN, Sightings


class Role(enum.Enum):
    """What the other hosts expect of this one."""

    NONE = 'none'
    """Another host holds the duty."""

    STANDBY = 'standby'
    """The holder is late, and this host would be the next one: it reads the
    topic, so that it need not wait later."""

    HOLDER = 'holder'
    """This host should hold the duty."""


MakeReport = Callable[[WindowNumber, BootTime | None], Report | None]
"""Return the report of the window after the given one; None if not due.

The second argument is when the topic was found without a record, None if it has
one. Reports of windows that were due until then may have been lost with their
records. They are left out: another count of them might differ.
"""


@attrs.define(kw_only=True)
class DutyHolder:
    """The state of one duty on one host.

    Attributes:
        name: Name of the host.
        incarnation: Incarnation of the host.
        lease: How long its last record permits it to act.
        sightings: What this host knows about the duty.
        tail: End of the topic as last read or appended; None if it is to be
            read.
        settled: Whether the service has answered the report of the tail.
        retries: Delays after failures.
    """

    name: HostId
    incarnation: Incarnation
    lease: Lease
    sightings: Sightings = attrs.field(factory=Sightings)
    tail: TopicTail | None = None
    settled: bool = False
    retries: Retries = attrs.field(factory=Retries)
    _token_floor: FencingToken = NO_TOKEN

    def is_acting(self) -> bool:
        """Return whether the last known record is this host's own."""
        return self.tail is not None and self._is_own(self.tail.record)

    def decide(
        self,
        now: BootTime,
        role: Role,
        make_report: MakeReport,
        least_token: FencingToken = NO_TOKEN,
    ) -> Step:
        """Return the next step.

        Args:
            now: The current time.
            role: What the other hosts expect of this one.
            make_report: Makes the next report.
            least_token: Lower bound on a new token, from the time of day: no
                token goes back even if all hosts and the store lose theirs.
        """
        if role is Role.NONE:
            self.tail = None
            return Rest()
        if now < self.retries.retry_at:
            return Rest()
        if self.tail is None:
            return ReadTopic()
        if role is Role.STANDBY:
            return Rest()
        record = self.tail.record
        if record is not None and self._is_own(record):
            return self._continue(record, self.tail.end, now, make_report)
        return self._take_over(self.tail, now, make_report, least_token)

    def finish_read(self, tail: TopicTail, now: BootTime) -> None:
        """Take the result of a read.

        Args:
            tail: The end of the topic.
            now: The current time.
        """
        self.tail = tail
        record = tail.record
        if record is None:
            # The end of an empty topic does not tell what it had before.
            self.sightings.forget_time()
            self.sightings.see(tail.end, NO_TOKEN, now)
            return
        self.sightings.record_append(record, tail.end, now)
        self.settled = self.sightings.is_answered(record.report)
        self.lease.read_back(tail.end)

    def finish_append(
        self, step: AppendRecord, offset: Offset | None, now: BootTime
    ) -> None:
        """Take the result of an append that the store has answered.

        Args:
            step: The append.
            offset: Offset of the record; None if the topic ended elsewhere.
            now: The current time.
        """
        if offset != step.at:
            self.tail = None
            return
        end = Offset(offset + 1)
        self.tail = TopicTail(end, step.record)
        self.sightings.record_append(step.record, end, now)
        self.settled = False

    def fail_store(self, now: BootTime) -> None:
        """Note that a call to the store failed; an append may yet happen.

        Args:
            now: The current time.
        """
        self.tail = None
        self.retries.record_failure(now)

    def finish_call(
        self, record: DutyRecord, result: CallResult, now: BootTime
    ) -> None:
        """Take the result of a call to the service.

        Args:
            record: The record whose report was sent.
            result: The result.
            now: The current time.
        """
        if result in {CallResult.ACCEPTED, CallResult.REFUSED}:
            self.settled = True
            self.sightings.record_report(record.report.window)
            self.retries.record_success()
        elif result is CallResult.FENCED:
            self.tail = None
            self.sightings.forget_time()
            self._token_floor = self.retries.raise_token(record.token)
        elif result is CallResult.LIMITED:
            self.retries.record_refusal(now)
        else:
            self.retries.record_failure(now)

    def _continue(
        self,
        record: DutyRecord,
        end: Offset,
        now: BootTime,
        make_report: MakeReport,
    ) -> Step:
        """Send what is not settled, renew the lease, or report a window."""
        until = self.lease.get_end()
        if not self.settled:
            if now < until:
                return SendReport(record, until)
            return AppendRecord(record, end)
        report = make_report(self.sightings.newest.window, None)
        if report is None:
            return Rest()
        return AppendRecord(attrs.evolve(record, report=report), end)

    def _take_over(
        self,
        tail: TopicTail,
        now: BootTime,
        make_report: MakeReport,
        least_token: FencingToken,
    ) -> Step:
        """Append with a new token once no earlier holder may act.

        The last report is repeated under the new token, unless it is known to
        have been answered.
        """
        known = self.sightings
        record = tail.record
        if not self._is_same_machine(record):
            if not known.is_older_than(self.lease.times.wait, now):
                return Rest()
        if record is None:
            report = make_report(known.newest.window, known.seen_at)
        else:
            report = known.get_unanswered() or make_report(
                known.newest.window, None
            )
        if report is None:
            return Rest()
        newest = max(known.newest.token, self._token_floor)
        token = FencingToken(max(newest + 1, least_token))
        return AppendRecord(
            DutyRecord(self.name, self.incarnation, token, report), tail.end
        )

    def _is_same_machine(self, record: DutyRecord | None) -> bool:
        """Return whether an earlier run of this host held the duty last."""
        if record is None or record.token <= self._token_floor:
            return False
        return record.holder == self.name

    def _is_own(self, record: DutyRecord | None) -> bool:
        """Return whether this run of the host holds the duty."""
        if record is None or not self._is_same_machine(record):
            return False
        is_newest = record.token >= self.sightings.newest.token
        return is_newest and record.incarnation == self.incarnation
