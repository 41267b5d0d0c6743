"""The fold of the keys stream: who owns each slice for each label.

Each host folds the same records in the order of their offsets. The earlier
record wins, so a label of a slice has at most one owner, ever: only the owner
itself can give up labels, and it stops serving them first.

A claim may reach only so far beyond and before the log's own time of its
record. So a reader that saw only what the log still keeps knows from which
label on it agrees with one that saw everything, whatever the clocks say.
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
NO_LABEL = EpochMs(0)


class _State(msgspec.Struct):
    next: Offset
    blind_until: EpochMs
    slices: list[list[Interval]]


def _make_slices() -> list[Intervals]:
    return [Intervals() for _ in range(SLICES)]


@attrs.define
class Grants:
    """Who owns what, as far as this host has folded the keys stream.

    Attributes:
        keep_ms: How long after its end an interval is kept for look-ups.
        next: The offset of the next record to fold.
        blind_until: Below this label nothing is known: records that this
            host never saw may say otherwise.
        unreadable: Records that were no records of the keys stream.
        void: Spans that broke the rules.
        watch: Wakes those who wait for a change.
    """

    keep_ms: int
    next: Offset = FIRST_OFFSET
    blind_until: EpochMs = NO_LABEL
    unreadable: int = 0
    void: int = 0
    watch: ChangeNotifier = attrs.field(factory=ChangeNotifier)
    _slices: list[Intervals] = attrs.field(factory=_make_slices)

    def find_owner(
        self, slice_number: SliceNumber, label: EpochMs
    ) -> Incarnation | None:
        """Give the one owner of a label of a slice, if one is known."""
        if label < self.blind_until:
            return None
        return self._slices[slice_number].find(label)

    def find_end(self, slice_number: SliceNumber, label: EpochMs) -> EpochMs:
        """Give the first label from this one on that nobody owns."""
        return self._slices[slice_number].find_end(label)

    def owns_beyond(self, owner: Incarnation, label: EpochMs) -> bool:
        """Tell whether an incarnation owns any label from this one on."""
        return any(
            intervals.owns_beyond(owner, label) for intervals in self._slices
        )

    def fold(self, record: LogRecord) -> None:
        """Take the next record into the state.

        Args:
            record: A record of the keys stream; one that was folded before
                changes nothing, and a gap before it makes this host blind
                for what the missing records may have said.
        """
        if record.offset < self.next:
            return
        if record.offset > self.next:
            self._lose(record)
        self.next = Offset(record.offset + 1)
        try:
            decoded = msgspec.json.decode(record.body, type=KeysRecord)
        except msgspec.MsgspecError:
            self.unreadable += 1
            return
        self._take(decoded, record.at)
        self.watch.notify()

    def take_snapshot(self) -> bytes:
        """Spell the state for a peer that is behind."""
        slices = [intervals.sorted for intervals in self._slices]
        return msgspec.msgpack.encode(
            _State(self.next, self.blind_until, slices)
        )

    def restore(self, snapshot: bytes) -> bool:
        """Take over a peer's state; False where it is not ahead of this one.

        Args:
            snapshot: What a peer's `take_snapshot` gave.

        Raises:
            msgspec.MsgspecError: It is no such state.
        """
        state = msgspec.msgpack.decode(snapshot, type=_State)
        if state.next <= self.next or len(state.slices) != SLICES:
            return False
        self.next = state.next
        self.blind_until = state.blind_until
        self._slices = [Intervals(intervals) for intervals in state.slices]
        self.watch.notify()
        return True

    def _lose(self, record: LogRecord) -> None:
        self._slices = _make_slices()
        self.blind_until = EpochMs(
            max(self.blind_until, record.at + MAX_AHEAD_MS)
        )

    def _take(self, decoded: KeysRecord, at: EpochMs) -> None:
        match decoded:
            case Claim():
                for span in decoded.spans:
                    self._claim(decoded.incarnation, span, at)
            case Release():
                for intervals in self._slices:
                    intervals.cut(decoded.incarnation, decoded.since)

    def _claim(self, owner: Incarnation, span: Span, at: EpochMs) -> None:
        if not _is_allowed(span, at):
            self.void += 1
            return
        intervals = self._slices[span.slice]
        intervals.forget(EpochMs(at - MAX_BACK_MS - self.keep_ms))
        intervals.add(Interval(span.start, span.until, owner))


def _is_allowed(span: Span, at: EpochMs) -> bool:
    in_range = 0 <= span.slice < SLICES
    in_order = span.start < span.until
    near = span.start >= at - MAX_BACK_MS and span.until <= at + MAX_AHEAD_MS
    return in_range and in_order and near
