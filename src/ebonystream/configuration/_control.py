"""The control state: what all records of the control stream come to.

Each host folds the same records in the order of their offsets, so that all
come to the same state; nothing but a record changes it.
"""

import attrs
import msgspec
from pydantic import ValidationError

from ebonystream._ids import ConfigurationVersion, Offset
from ebonystream._watch import Watch
from ebonystream.configuration._lists import Lists
from ebonystream.configuration._records import ControlRecord, Publish
from ebonystream.configuration._table import PlanTable, index_lists
from ebonystream.platform import LogRecord

FIRST_OFFSET = Offset(0)
NO_VERSION = ConfigurationVersion(0)


@attrs.define
class Control:
    """The configuration in force.

    Attributes:
        next: The offset of the next record to fold.
        version: The version in force; 0 before the first publish.
        lists: The two lists in force.
        plans: The same, indexed for look-ups.
        accepted: The version that each accepted publish made.
        rejected: Why each rejected publish was rejected.
        unreadable: Records that were no control records.
        watch: Wakes those who wait for a change.
    """

    next: Offset = FIRST_OFFSET
    version: ConfigurationVersion = NO_VERSION
    lists: Lists | None = None
    plans: PlanTable | None = None
    accepted: dict[str, ConfigurationVersion] = attrs.field(factory=dict)
    rejected: dict[str, str] = attrs.field(factory=dict)
    unreadable: int = 0
    watch: Watch = attrs.field(factory=Watch)

    def fold(self, record: LogRecord) -> None:
        """Take the next record into the state.

        Args:
            record: A record of the control stream; one that was folded
                before changes nothing.
        """
        if record.offset < self.next:
            return
        self.next = Offset(record.offset + 1)
        try:
            decoded = msgspec.json.decode(record.body, type=ControlRecord)
        except msgspec.MsgspecError:
            self.unreadable += 1
            return
        self._publish(decoded)
        self.watch.notify()

    def _publish(self, publish: Publish) -> None:
        if publish.based_on != self.version:
            self.rejected[publish.publish_id] = (
                f'based on version {publish.based_on}, '
                f'but version {self.version} is in force'
            )
            return
        try:
            lists = Lists.model_validate(publish.lists)
        except ValidationError as error:
            self.rejected[publish.publish_id] = str(error)
            return
        self.version = ConfigurationVersion(self.version + 1)
        self.lists = lists
        self.plans = index_lists(lists)
        self.accepted[publish.publish_id] = self.version
