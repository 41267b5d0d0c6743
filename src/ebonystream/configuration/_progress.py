"""How far a host has followed the control stream."""

import enum

import attrs

from ebonystream._ids import EpochMs, Offset

FIRST_OFFSET = Offset(0)


class Following(enum.Enum):
    """How a host stands to the records it reads."""

    FOLDING = 'folding'
    """Its state holds each record up to where it reads."""

    LACKING = 'lacking'
    """The log forgot records that its state lacks: only a checkpoint or the
    snapshot of a peer helps."""


@attrs.define
class Progress:
    """Offsets, which never go back.

    Attributes:
        next: The offset of the first record that the state lacks.
        cursor: The offset to read next; beyond `next` only while lacking.
        following: How the host stands to what it reads.
        caught_up: Whether the state was once as new as the log, or as that
            of every peer.
        base_ms: When the log took the record that a late reader begins with,
            the first of all or a checkpoint; None where this host can't know.
    """

    next: Offset = FIRST_OFFSET
    cursor: Offset = FIRST_OFFSET
    following: Following = Following.FOLDING
    caught_up: bool = False
    base_ms: EpochMs | None = None

    def skip_to(self, first: Offset) -> None:
        """Note that the log begins at an offset; a gap means history lost."""
        if first <= self.cursor:
            return
        self.cursor = first
        self.following = Following.LACKING
        self.caught_up = False

    def read(self, offset: Offset, at: EpochMs) -> None:
        """Note that a record was read, whatever it was."""
        self.cursor = Offset(offset + 1)
        if offset == FIRST_OFFSET:
            self.base_ms = at
        if self.following is Following.FOLDING:
            self._advance(self.cursor)

    def adopt(self, as_of: Offset) -> None:
        """Note that a whole state was taken over."""
        self._advance(as_of)
        self.cursor = as_of
        self.following = Following.FOLDING

    def settle(self, newest: Offset) -> None:
        """Count as caught up with the peers, for a start without the log.

        One peer's snapshot is not enough: that peer may be behind the others.

        Args:
            newest: The furthest `next` of all live peers, each of which was
                heard or counts as unreachable.
        """
        folding = self.following is Following.FOLDING
        if folding and FIRST_OFFSET < newest <= self.next:
            self.caught_up = True

    def _advance(self, to: Offset) -> None:
        assert to >= self.next, f'offset {to} is before {self.next}'
        self.next = to
