"""The position of a record in the log."""

import attrs

from ebonystream._ids import EpochMs, Offset


@attrs.frozen
class LogPosition:
    """Position of a record in the log.

    Attributes:
        offset: The offset of the record.
        at_ms: When the log accepted the record, by the log's clock.
    """

    offset: Offset
    at_ms: EpochMs
