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
from ebonystream.ownership._intervals import Interval, Intervals
from ebonystream.ownership._key import SLICES
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
    next: Offset
    blind_until: EpochMs
    slices: list[list[Interval]]


def _make_slices() -> list[Intervals]:
    return [Intervals() for _ in range(SLICES)]


@attrs.define
class Grants:
    """Owners of all slices, up to the records that this host has folded.

    Attributes:
        keep_ms: How long after its end an interval is retained, in
            milliseconds.
        next: Offset of the next record to fold.
        blind_until: Owners of earlier timestamps are unknown, since records
            that this host missed may concern them.
        unreadable: Number of records that could not be decoded.
        void: Number of spans rejected as invalid.
        watch: Notified of each change.
    """

    keep_ms: int
    next: Offset = FIRST_OFFSET
    blind_until: EpochMs = NO_TIMESTAMP
    unreadable: int = 0
    void: int = 0
    watch: ChangeNotifier = attrs.field(factory=ChangeNotifier)
    _slices: list[Intervals] = attrs.field(factory=_make_slices)

    def find_owner(
        self, slice_number: SliceNumber, label: EpochMs
    ) -> Incarnation | None:
        """Return the owner of a timestamp in a slice; None if not known."""
        if label < self.blind_until:
            return None
        return self._slices[slice_number].find(label)

    def find_end(self, slice_number: SliceNumber, label: EpochMs) -> EpochMs:
        """Return the first unowned timestamp at or after the given one."""
        return self._slices[slice_number].find_end(label)

    def owns_beyond(self, owner: Incarnation, label: EpochMs) -> bool:
        """Return whether an incarnation owns this or any later timestamp."""
        return any(
            intervals.owns_beyond(owner, label) for intervals in self._slices
        )

    def fold(self, record: LogRecord) -> None:
        """Update the state with the next record of the keys stream.

        A record that was folded before is ignored. After a gap in the offsets
        the owners that missing records may concern are treated as unknown.

        Args:
            record: Record of the keys stream.
        """
        if record.offset < self.next:
            return
        if record.offset > self.next:
            self._reset_after_gap(record)
        self.next = Offset(record.offset + 1)
        try:
            decoded = msgspec.json.decode(record.body, type=KeysRecord)
        except msgspec.MsgspecError:
            self.unreadable += 1
            return
        self._apply(decoded, record.at)
        self.watch.notify()

    def take_snapshot(self) -> bytes:
        """Return the encoded state, for a peer that is behind."""
        slices = [intervals.sorted for intervals in self._slices]
        return msgspec.msgpack.encode(
            _State(self.next, self.blind_until, slices)
        )

    def restore(self, snapshot: bytes) -> bool:
        """Replace the state by a peer's and return whether it was newer.

        Args:
            snapshot: State as encoded by `take_snapshot` on a peer.

        Raises:
            msgspec.MsgspecError: The snapshot cannot be decoded.
        """
        state = msgspec.msgpack.decode(snapshot, type=_State)
        if state.next <= self.next or len(state.slices) != SLICES:
            return False
        self.next = state.next
        self.blind_until = state.blind_until
        self._slices = [Intervals(intervals) for intervals in state.slices]
        self.watch.notify()
        return True

    def _reset_after_gap(self, record: LogRecord) -> None:
        self._slices = _make_slices()
        self.blind_until = EpochMs(
            max(self.blind_until, record.at + MAX_AHEAD_MS)
        )

    def _apply(self, decoded: KeysRecord, at: EpochMs) -> None:
        match decoded:
            case Claim():
                for span in decoded.spans:
                    self._claim(decoded.incarnation, span, at)
            case Release():
                for intervals in self._slices:
                    intervals.cut(decoded.incarnation, decoded.since)

    def _claim(self, owner: Incarnation, span: Span, at: EpochMs) -> None:
        if not _is_valid(span, at):
            self.void += 1
            return
        intervals = self._slices[span.slice]
        intervals.forget(EpochMs(at - MAX_BACK_MS - self.keep_ms))
        intervals.add(Interval(span.start, span.until, owner))


def _is_valid(span: Span, at: EpochMs) -> bool:
    in_range = 0 <= span.slice < SLICES
    in_order = span.start < span.until
    near = span.start >= at - MAX_BACK_MS and span.until <= at + MAX_AHEAD_MS
    return in_range and in_order and near
