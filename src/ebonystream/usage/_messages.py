"""Messages in which hosts tell the holder of the duty what they counted."""

from typing import Annotated

import msgspec

from ebonystream._ids import (
    HostId,
    Incarnation,
    Seconds,
    WindowNumber,
    WorkspaceName,
)
from ebonystream._validation import MAX_NAME_LENGTH

MAX_COUNT = 1_000_000_000
MAX_WINDOW = 9_007_199_254_740_991
MAX_TIME_S = 253_402_300_799
"""The year 9999, in seconds since the Unix epoch."""

_Name = msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)
_Count = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]


class WindowCounts(msgspec.Struct, frozen=True, array_like=True):
    """Requests that one host counted in one window so far.

    Attributes:
        window: Number of the window.
        counts: Number of requests of each workspace.
    """

    window: Annotated[WindowNumber, msgspec.Meta(ge=0, le=MAX_WINDOW)]
    counts: dict[Annotated[WorkspaceName, _Name], _Count]


class CountsMessage(msgspec.Struct, frozen=True, array_like=True):
    """What a host counted in the windows that are not reported yet.

    Counts are totals of the window, so that a message that is repeated or
    overtaken changes nothing.

    Attributes:
        host: Name of the host.
        incarnation: Incarnation of the host; each restart starts a new one.
        sent_at: Time of day of the host, in seconds since the Unix epoch.
        windows: Counts that are new to the receiver.
        complete: Whether the receiver has all counts of the host up to the
            time of the message.
    """

    host: Annotated[HostId, _Name]
    incarnation: Annotated[Incarnation, _Name]
    sent_at: Annotated[float, msgspec.Meta(ge=0, le=MAX_TIME_S)]
    windows: tuple[WindowCounts, ...] = ()
    complete: bool = True


class CountsReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply of the holder of the duty.

    Attributes:
        collecting: Whether the receiver holds the duty.
        clock_error: How far the clock of the sender is ahead of most others,
            in seconds.
    """

    collecting: bool
    clock_error: Seconds = Seconds(0)
