"""Where in the log a record stands, as the rules of moves see it."""

import attrs

from ebonystream._ids import EpochMs, Offset


@attrs.frozen
class RecordPlace:
    """The place of a record.

    Attributes:
        offset: Its offset.
        at: When the log took it, by the log's own clock.
    """

    offset: Offset
    at: EpochMs
