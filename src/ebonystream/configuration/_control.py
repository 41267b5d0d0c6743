"""The control state of a host: the fold of the control stream.

All hosts apply the same records in the order of their offsets, and nothing
else changes the state, so that they all reach the same state.
"""

import attrs
import msgspec

from ebonystream._ids import ConfigurationVersion, Offset, ZoneName
from ebonystream._notifier import ChangeNotifier
from ebonystream.configuration._folded_state import FoldedState
from ebonystream.configuration._progress import Following, StreamProgress
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
class ControlReplica:
    """This host's replica of the configuration and of the moves.

    Attributes:
        folded_state: The state that results from the applied records.
        progress: The position in the stream.
        malformed_inputs: Number of malformed records and snapshots.
        stale_snapshots: Number of snapshots that were not newer than the
            state of this host.
        change_notifier: Notifies observers of each change.
    """

    folded_state: FoldedState = attrs.field(factory=FoldedState)
    progress: StreamProgress = attrs.field(factory=StreamProgress)
    malformed_inputs: int = 0
    stale_snapshots: int = 0
    change_notifier: ChangeNotifier = attrs.field(factory=ChangeNotifier)

    @property
    def next_offset(self) -> Offset:
        """The offset of the first record that is not in the state."""
        return self.progress.next_offset

    @property
    def version(self) -> ConfigurationVersion:
        """The version of the lists in force; 0 before the first publish."""
        return self.folded_state.published.version

    def get_plans(self) -> PlanTable | None:
        """Return the plans in force; None until this host has caught up.

        A starting host serves no calls until it has caught up, since it could
        send work to an evacuated zone if its state is out of date.
        """
        if not self.progress.caught_up:
            return None
        return self.folded_state.published.plan_table

    def is_evacuated(self, zone: ZoneName) -> bool:
        """Return whether operators have evacuated a zone."""
        return self.folded_state.moves.is_evacuated(zone)

    def apply_page(self, page: LogPage) -> None:
        """Apply the records of a page.

        Args:
            page: The result of a read that began at `progress.cursor`.
        """
        self.progress.skip_to(page.first_offset)
        for record in page.records:
            self.fold(record)
        folding = self.progress.following is Following.FOLDING
        if folding and self.progress.cursor >= page.next_offset:
            self.progress.caught_up = True
        self.change_notifier.notify()

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
            position = LogPosition(record.offset, record.at_ms)
            self.folded_state.apply(decoded, position)
        self.progress.record_read(record.offset, record.at_ms)
        self.change_notifier.notify()

    def take_snapshot(self) -> bytes | None:
        """Encode the state for a peer; None until this host has caught up."""
        if not self.progress.caught_up:
            return None
        return msgspec.json.encode(
            dump_state(self.folded_state, self.next_offset)
        )

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
        serialized = decode_state(snapshot)
        if serialized is None:
            self.malformed_inputs += 1
            return False
        if (
            serialized.next <= self.next_offset
            or serialized.version < self.version
        ):
            self.stale_snapshots += 1
            return False
        if not self._replace_state(serialized):
            return False
        self.change_notifier.notify()
        return True

    def _apply_checkpoint(
        self, serialized: SerializedState, record: LogRecord
    ) -> None:
        if (
            serialized.next != record.offset
            or serialized.schema != SCHEMA_VERSION
        ):
            return
        if self.progress.following is Following.FOLDING:
            expected = dump_state(self.folded_state, record.offset)
            assert serialized == expected, (
                f'the checkpoint at {record.offset} differs from the state'
            )
        elif not self._replace_state(serialized):
            return
        self.progress.base_ms = record.at_ms

    def _replace_state(self, serialized: SerializedState) -> bool:
        folded_state = load_state(serialized)
        if folded_state is None:
            self.malformed_inputs += 1
            return False
        assert folded_state.published.version >= self.version, (
            'the version of the lists decreased'
        )
        self.folded_state = folded_state
        self.progress.record_state_replaced(serialized.next)
        return True
