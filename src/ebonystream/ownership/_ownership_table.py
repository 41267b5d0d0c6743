"""Owners of each slice by timestamp, computed from the keys stream.

All hosts fold the same records in the order of their offsets, and the earlier
record wins. So a timestamp of a slice never has two owners: only the owner can
release timestamps, and it stops running their keys before it does.

The span of a claim must lie within fixed bounds around the time at which the
log appended the record. A reader that missed records which the log no longer
retains can therefore compute from which timestamp on its state is complete,
regardless of the hosts' clocks.
"""

import attrs
import msgspec

from ebonystream._ids import EpochMs, Incarnation, Offset, SliceNumber
from ebonystream._notifier import ChangeNotifier
from ebonystream.logservice import LogRecord
from ebonystream.ownership._intervals import Interval, SliceOwnership
from ebonystream.ownership._key import SLICE_COUNT
from ebonystream.ownership._records import (
    MAX_AHEAD_MS,
    MAX_BACK_MS,
    Claim,
    KeysRecord,
    Release,
    Span,
)

FIRST_OFFSET = Offset(0)
NO_TIMESTAMP = EpochMs(0)


class _State(msgspec.Struct):
    """State of an `OwnershipTable`, as sent to peers.

    Attributes:
        next: Offset of the next record to fold.
        blind_until: Owners of earlier timestamps are unknown.
        slices: Owned intervals of each slice.
    """

    next: Offset
    blind_until: EpochMs
    slices: list[list[Interval]]


def _make_slices() -> list[SliceOwnership]:
    return [SliceOwnership() for _ in range(SLICE_COUNT)]


@attrs.define
class OwnershipTable:
    """Owners of all slices, up to the records that this host has folded.

    Attributes:
        retention_ms: How long after its end an interval is retained, in
            milliseconds.
        next_offset: Offset of the next record to fold.
        unknown_before: Owners of earlier timestamps are unknown, since
            records that this host missed may concern them.
        invalid_records: Number of records that could not be decoded.
        rejected_spans: Number of spans rejected as invalid.
        change_notifier: Notified of each change.
    """

    retention_ms: int
    next_offset: Offset = FIRST_OFFSET
    unknown_before: EpochMs = NO_TIMESTAMP
    invalid_records: int = 0
    rejected_spans: int = 0
    change_notifier: ChangeNotifier = attrs.field(factory=ChangeNotifier)
    _slices: list[SliceOwnership] = attrs.field(factory=_make_slices)

    def find_owner(
        self, slice_number: SliceNumber, timestamp: EpochMs
    ) -> Incarnation | None:
        """Return the owner of a timestamp in a slice; None if not known."""
        if timestamp < self.unknown_before:
            return None
        return self._slices[slice_number].find_owner(timestamp)

    def find_unowned(
        self, slice_number: SliceNumber, timestamp: EpochMs
    ) -> EpochMs:
        """Return the first unowned timestamp at or after the given one."""
        return self._slices[slice_number].find_unowned(timestamp)

    def owns_from(self, owner: Incarnation, timestamp: EpochMs) -> bool:
        """Return whether an incarnation owns this or any later timestamp."""
        return any(
            slice_ownership.owns_from(owner, timestamp)
            for slice_ownership in self._slices
        )

    def fold(self, record: LogRecord) -> None:
        """Update the state with the next record of the keys stream.

        A record that was folded before is ignored. After a gap in the offsets
        the owners that missing records may concern are treated as unknown.

        Args:
            record: Record of the keys stream.
        """
        if record.offset < self.next_offset:
            return
        if record.offset > self.next_offset:
            self._reset_after_gap(record)
        self.next_offset = Offset(record.offset + 1)
        try:
            decoded = msgspec.json.decode(record.body, type=KeysRecord)
        except msgspec.MsgspecError:
            self.invalid_records += 1
            return
        self._apply(decoded, record.at_ms)
        self.change_notifier.notify()

    def take_snapshot(self) -> bytes:
        """Return the encoded state, for a peer that is behind."""
        slices = [slice_ownership.intervals for slice_ownership in self._slices]
        return msgspec.msgpack.encode(
            _State(self.next_offset, self.unknown_before, slices)
        )

    def restore(self, snapshot: bytes) -> bool:
        """Replace the state by a peer's and return whether it was newer.

        Args:
            snapshot: State as encoded by `take_snapshot` on a peer.

        Raises:
            msgspec.MsgspecError: The snapshot cannot be decoded.
        """
        state = msgspec.msgpack.decode(snapshot, type=_State)
        if state.next <= self.next_offset or len(state.slices) != SLICE_COUNT:
            return False
        self.next_offset = state.next
        self.unknown_before = state.blind_until
        self._slices = [SliceOwnership(intervals) for intervals in state.slices]
        self.change_notifier.notify()
        return True

    def _reset_after_gap(self, record: LogRecord) -> None:
        self._slices = _make_slices()
        self.unknown_before = EpochMs(
            max(self.unknown_before, record.at_ms + MAX_AHEAD_MS)
        )

    def _apply(self, decoded: KeysRecord, appended_at: EpochMs) -> None:
        match decoded:
            case Claim():
                for span in decoded.spans:
                    self._claim(decoded.incarnation, span, appended_at)
            case Release():
                for slice_ownership in self._slices:
                    slice_ownership.release(decoded.incarnation, decoded.since)

    def _claim(
        self, owner: Incarnation, span: Span, appended_at: EpochMs
    ) -> None:
        if not _is_valid(span, appended_at):
            self.rejected_spans += 1
            return
        slice_ownership = self._slices[span.slice]
        slice_ownership.evict(
            EpochMs(appended_at - MAX_BACK_MS - self.retention_ms)
        )
        slice_ownership.claim(Interval(span.start, span.until, owner))


def _is_valid(span: Span, appended_at: EpochMs) -> bool:
    in_range = 0 <= span.slice < SLICE_COUNT
    in_order = span.start < span.until
    near = (
        span.start >= appended_at - MAX_BACK_MS
        and span.until <= appended_at + MAX_AHEAD_MS
    )
    return in_range and in_order and near
