"""Records of the keys stream, as JSON."""

import msgspec

from ebonystream._ids import EpochMs, Incarnation, SliceNumber


class Span(msgspec.Struct, frozen=True, array_like=True):
    """A slice for the labels from one to another.

    Attributes:
        slice: The slice.
        start: The first label.
        until: The label after the last.
    """

    slice: SliceNumber
    start: EpochMs
    until: EpochMs


class Claim(msgspec.Struct, tag='claim', frozen=True):
    """An incarnation claims spans that nobody owns.

    Attributes:
        incarnation: Who claims.
        spans: What is claimed; what another owns already stays theirs.
    """

    incarnation: Incarnation
    spans: tuple[Span, ...]


class Release(msgspec.Struct, tag='release', frozen=True):
    """An incarnation gives up what it owns from a label on.

    Attributes:
        incarnation: Who gives up.
        since: The first label that it no longer serves, in any slice.
    """

    incarnation: Incarnation
    since: EpochMs


KeysRecord = Claim | Release

MAX_AHEAD_MS = 900_000
"""A claim may reach this far beyond the log's time of its record."""

MAX_BACK_MS = 60_000
"""A claim may reach back this far before the log's time of its record."""
