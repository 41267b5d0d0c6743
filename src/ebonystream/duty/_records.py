"""Records of a duty in the store's topic, and the steps of its holder."""

import enum

import attrs

from ebonystream._ids import (
    BootTime,
    FencingToken,
    HostId,
    Incarnation,
    Offset,
    Seconds,
    WindowNumber,
)

ACT_SHARE = 0.2
"""Share of the lease in which a holder may call the service after it began the
append of the record that permits the call."""


@attrs.frozen
class Report:
    """What a holder sends to the service for one window.

    Attributes:
        window: Number of the window.
        body: Encoded report; a repetition sends the same bytes.
    """

    window: WindowNumber
    body: bytes


@attrs.frozen
class DutyRecord:
    """One record of the topic; it permits its holder one call.

    Attributes:
        holder: Name of the host that appended it.
        incarnation: Incarnation of that host.
        token: Fencing token of the holder.
        report: The report that the holder sends next.
    """

    holder: HostId
    incarnation: Incarnation
    token: FencingToken
    report: Report


@attrs.frozen
class TopicTail:
    """The end of the topic.

    Attributes:
        end: Offset of the next record.
        record: The last record; None if the topic retains none that can be
            decoded.
    """

    end: Offset
    record: DutyRecord | None


@attrs.frozen
class LeaseTimes:
    """Times that keep the calls of two holders apart.

    A call begins at most `act` after the append that permits it began, and
    another host acts at the earliest `wait` after it first saw that record.
    The calls of two hosts are therefore at least one lease apart.

    Attributes:
        lease: The lease, in seconds.
    """

    lease: Seconds

    @property
    def act(self) -> Seconds:
        """How long after the start of an append its holder may call."""
        return Seconds(self.lease * ACT_SHARE)

    @property
    def wait(self) -> Seconds:
        """How long a new holder waits after it first saw the last record."""
        return Seconds(self.lease + self.act)


@attrs.frozen
class ReadTopic:
    """Read the end of the topic."""


@attrs.frozen
class AppendRecord:
    """Append a record, provided that the topic ends at an offset.

    Attributes:
        record: The record.
        at: The required end of the topic.
    """

    record: DutyRecord
    at: Offset


@attrs.frozen
class SendReport:
    """Call the service with the report of the last record.

    Attributes:
        record: The last record.
        until: When the call is given up, on the clock since boot.
    """

    record: DutyRecord
    until: BootTime


@attrs.frozen
class Rest:
    """Nothing is to be done now."""


Step = ReadTopic | AppendRecord | SendReport | Rest
"""What the holder of a duty does next."""


class CallResult(enum.Enum):
    """Result of a call to the service."""

    ACCEPTED = 'accepted'
    """The service has executed the call."""

    FENCED = 'fenced'
    """The service has seen a higher token; the token is not used again."""

    LIMITED = 'limited'
    """The service has refused the call, as there were too many calls."""

    REFUSED = 'refused'
    """The service refuses this report, and would refuse its repetition."""

    UNKNOWN = 'unknown'
    """The call failed; it may still be executed."""
