"""The position of a host in the control stream."""

import enum

import attrs

from ebonystream._ids import EpochMs, Offset

FIRST_OFFSET = Offset(0)


class Following(enum.Enum):
    """How a host stands to the records it reads."""

    FOLDING = 'folding'
    """The state includes every record before the cursor."""

    MISSING_RECORDS = 'lacking'
    """The log expired records that the state does not include. No record can be
    applied before the state is replaced by a checkpoint or a peer's snapshot.
    """


@attrs.define
class StreamProgress:
    """Offsets in the control stream; they never decrease.

    Attributes:
        next_offset: The offset of the first record that is not in the state.
        cursor: The offset to read next; greater than `next_offset` only
            while records are missing.
        following: Whether records are missing from the state.
        caught_up: Whether the state was once as new as the log, or as that
            of every peer; reset if records are missing.
        base_ms: Time at which the log appended the record from which a new
            reader starts, that is the first record or the latest checkpoint;
            None if it is not known on this host.
    """

    next_offset: Offset = FIRST_OFFSET
    cursor: Offset = FIRST_OFFSET
    following: Following = Following.FOLDING
    caught_up: bool = False
    base_ms: EpochMs | None = None

    def skip_to(self, oldest_offset: Offset) -> None:
        """Advance to the oldest offset of the log; a gap means lost records."""
        if oldest_offset <= self.cursor:
            return
        self.cursor = oldest_offset
        self.following = Following.MISSING_RECORDS
        self.caught_up = False

    def record_read(self, offset: Offset, appended_at_ms: EpochMs) -> None:
        """Record that a record was read, whether or not it was applied."""
        self.cursor = Offset(offset + 1)
        if offset == FIRST_OFFSET:
            self.base_ms = appended_at_ms
        if self.following is Following.FOLDING:
            self._advance(self.cursor)

    def record_state_replaced(self, state_offset: Offset) -> None:
        """Record that the whole state was replaced."""
        self._advance(state_offset)
        self.cursor = state_offset
        self.following = Following.FOLDING

    def confirm_caught_up(self, newest_offset: Offset) -> None:
        """Count as caught up if no peer is ahead, for a start without the log.

        One peer's snapshot is not enough: that peer may be behind the others.

        Args:
            newest_offset: The greatest next offset of all live peers, each of
                which has reported it or counts as unreachable.
        """
        folding = self.following is Following.FOLDING
        if folding and FIRST_OFFSET < newest_offset <= self.next_offset:
            self.caught_up = True

    def _advance(self, offset: Offset) -> None:
        assert offset >= self.next_offset, (
            f'offset {offset} is before {self.next_offset}'
        )
        self.next_offset = offset
