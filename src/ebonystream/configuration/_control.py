"""The control state: what all records of the control stream come to.

Each host folds the same records in the order of their offsets, so that all
come to the same state; nothing but a record changes it.
"""

import attrs
import msgspec

from ebonystream._ids import ConfigurationVersion, Offset, ZoneName
from ebonystream._notifier import ChangeNotifier
from ebonystream.configuration._folded import Folded
from ebonystream.configuration._progress import Following, Progress
from ebonystream.configuration._records import (
    SCHEMA,
    Checkpoint,
    ControlState,
    decode_record,
    decode_state,
)
from ebonystream.configuration._state import dump_folded, load_folded
from ebonystream.configuration._table import PlanTable
from ebonystream.logservice import LogPage, LogRecord
from ebonystream.move import LogPosition


@attrs.define
class Control:
    """The configuration and the moves in force.

    Attributes:
        folded: What the records come to.
        progress: How far the stream was followed.
        unreadable: Records and snapshots that were malformed.
        refused: Snapshots that were no newer than this state.
        watch: Wakes those who wait for a change.
    """

    folded: Folded = attrs.field(factory=Folded)
    progress: Progress = attrs.field(factory=Progress)
    unreadable: int = 0
    refused: int = 0
    watch: ChangeNotifier = attrs.field(factory=ChangeNotifier)

    @property
    def next(self) -> Offset:
        """The offset of the first record that the state lacks."""
        return self.progress.next

    @property
    def version(self) -> ConfigurationVersion:
        """The version of the lists in force; 0 before the first publish."""
        return self.folded.published.version

    def get_plans(self) -> PlanTable | None:
        """Give the plans in force; None until this host knows them all.

        A host that starts serves nobody before it has caught up: an older
        state could send work to a zone that is out.
        """
        if not self.progress.caught_up:
            return None
        return self.folded.published.plans

    def is_out(self, zone: ZoneName) -> bool:
        """Tell whether operators took a zone out."""
        return self.folded.moves.is_evacuated(zone)

    def take_page(self, page: LogPage) -> None:
        """Take what one read of the stream gave.

        Args:
            page: A read from `progress.cursor` on.
        """
        self.progress.skip_to(page.first)
        for record in page.records:
            self.fold(record)
        folding = self.progress.following is Following.FOLDING
        if folding and self.progress.cursor >= page.next:
            self.progress.caught_up = True
        self.watch.notify()

    def fold(self, record: LogRecord) -> None:
        """Take the next record into the state.

        Args:
            record: A record of the control stream; one that was read
                before changes nothing.
        """
        if record.offset < self.progress.cursor:
            return
        self.progress.skip_to(record.offset)
        decoded = decode_record(record.body)
        if decoded is None:
            self.unreadable += 1
        elif isinstance(decoded, Checkpoint):
            self._take_checkpoint(decoded.state, record)
        elif self.progress.following is Following.FOLDING:
            place = LogPosition(record.offset, record.at)
            self.folded.take(decoded, place)
        self.progress.read(record.offset, record.at)
        self.watch.notify()

    def take_snapshot(self) -> bytes | None:
        """Spell the state for a peer; None until this host has caught up."""
        if not self.progress.caught_up:
            return None
        return msgspec.json.encode(dump_folded(self.folded, self.next))

    def restore(self, snapshot: bytes) -> bool:
        """Take over the state of a peer that is further ahead.

        Args:
            snapshot: What `take_snapshot` gave there.

        Returns:
            Whether it was taken; one that is malformed or no newer is counted
            and dropped. The host serves once `progress.settle` or the log
            says that it knows all.
        """
        state = decode_state(snapshot)
        if state is None:
            self.unreadable += 1
            return False
        if state.next <= self.next or state.version < self.version:
            self.refused += 1
            return False
        if not self._adopt(state):
            return False
        self.watch.notify()
        return True

    def _take_checkpoint(self, state: ControlState, read: LogRecord) -> None:
        if state.next != read.offset or state.schema != SCHEMA:
            return
        if self.progress.following is Following.FOLDING:
            own = dump_folded(self.folded, read.offset)
            assert state == own, f'the checkpoint at {read.offset} disagrees'
        elif not self._adopt(state):
            return
        self.progress.base_ms = read.at

    def _adopt(self, state: ControlState) -> bool:
        folded = load_folded(state)
        if folded is None:
            self.unreadable += 1
            return False
        assert folded.published.version >= self.version, 'the version fell'
        self.folded = folded
        self.progress.adopt(state.next)
        return True
