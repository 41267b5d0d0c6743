"""The control state of a host: the fold of the control stream.

All hosts apply the same records in the order of their offsets, and nothing
else changes the state, so that they all reach the same state.
"""

import attrs
import msgspec

from ebonystream._ids import ConfigurationVersion, Offset, ZoneName
from ebonystream._notifier import ChangeNotifier
from ebonystream.configuration._folded import FoldedState
from ebonystream.configuration._progress import Following, Progress
from ebonystream.configuration._records import (
    SCHEMA_VERSION,
    Checkpoint,
    SerializedState,
    decode_record,
    decode_state,
)
from ebonystream.configuration._state import dump_state, load_state
from ebonystream.configuration._table import PlanTable
from ebonystream.logservice import LogPage, LogRecord
from ebonystream.move import LogPosition


@attrs.define
class Control:
    """This host's replica of the configuration and of the moves.

    Attributes:
        folded: The state that results from the applied records.
        progress: The position in the stream.
        malformed_inputs: Number of malformed records and snapshots.
        stale_snapshots: Number of snapshots that were not newer than the
            state of this host.
        watch: Notifies observers of each change.
    """

    folded: FoldedState = attrs.field(factory=FoldedState)
    progress: Progress = attrs.field(factory=Progress)
    malformed_inputs: int = 0
    stale_snapshots: int = 0
    watch: ChangeNotifier = attrs.field(factory=ChangeNotifier)

    @property
    def next(self) -> Offset:
        """The offset of the first record that is not in the state."""
        return self.progress.next

    @property
    def version(self) -> ConfigurationVersion:
        """The version of the lists in force; 0 before the first publish."""
        return self.folded.published.version

    def get_plans(self) -> PlanTable | None:
        """Return the plans in force; None until this host has caught up.

        A starting host serves no calls until it has caught up, since it could
        send work to an evacuated zone if its state is out of date.
        """
        if not self.progress.caught_up:
            return None
        return self.folded.published.plan_table

    def is_out(self, zone: ZoneName) -> bool:
        """Return whether operators have evacuated a zone."""
        return self.folded.moves.is_evacuated(zone)

    def take_page(self, page: LogPage) -> None:
        """Apply the records of a page.

        Args:
            page: The result of a read that began at `progress.cursor`.
        """
        self.progress.skip_to(page.first)
        for record in page.records:
            self.fold(record)
        folding = self.progress.following is Following.FOLDING
        if folding and self.progress.cursor >= page.next:
            self.progress.caught_up = True
        self.watch.notify()

    def fold(self, record: LogRecord) -> None:
        """Apply the next record of the control stream.

        Args:
            record: The record; ignored if it has been read before.
        """
        if record.offset < self.progress.cursor:
            return
        self.progress.skip_to(record.offset)
        decoded = decode_record(record.body)
        if decoded is None:
            self.malformed_inputs += 1
        elif isinstance(decoded, Checkpoint):
            self._apply_checkpoint(decoded.state, record)
        elif self.progress.following is Following.FOLDING:
            position = LogPosition(record.offset, record.at)
            self.folded.apply(decoded, position)
        self.progress.record_read(record.offset, record.at)
        self.watch.notify()

    def take_snapshot(self) -> bytes | None:
        """Encode the state for a peer; None until this host has caught up."""
        if not self.progress.caught_up:
            return None
        return msgspec.json.encode(dump_state(self.folded, self.next))

    def restore(self, snapshot: bytes) -> bool:
        """Replace the state by the newer state of a peer.

        This does not make the host count as caught up: a later read of the log
        or `progress.confirm_caught_up` does, once no record is missing.

        Args:
            snapshot: The return value of `take_snapshot` on the peer.

        Returns:
            Whether the state was replaced. A snapshot that is malformed or
            not newer is counted and dropped.
        """
        state = decode_state(snapshot)
        if state is None:
            self.malformed_inputs += 1
            return False
        if state.next <= self.next or state.version < self.version:
            self.stale_snapshots += 1
            return False
        if not self._replace_state(state):
            return False
        self.watch.notify()
        return True

    def _apply_checkpoint(
        self, state: SerializedState, record: LogRecord
    ) -> None:
        if state.next != record.offset or state.schema != SCHEMA_VERSION:
            return
        if self.progress.following is Following.FOLDING:
            expected = dump_state(self.folded, record.offset)
            assert state == expected, (
                f'the checkpoint at {record.offset} differs from the state'
            )
        elif not self._replace_state(state):
            return
        self.progress.base_ms = record.at

    def _replace_state(self, state: SerializedState) -> bool:
        folded = load_state(state)
        if folded is None:
            self.malformed_inputs += 1
            return False
        assert folded.published.version >= self.version, (
            'the version of the lists decreased'
        )
        self.folded = folded
        self.progress.record_state_replaced(state.next)
        return True
