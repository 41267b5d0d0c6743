"""Records of the keys stream, stored as JSON."""

import msgspec

from ebonystream._ids import EpochMs, Incarnation, SliceNumber


class Span(msgspec.Struct, frozen=True, array_like=True):
    """An interval of timestamps of one slice.

    Attributes:
        slice: Number of the slice.
        start: First timestamp of the span.
        until: First timestamp after the span.
    """

    slice: SliceNumber
    start: EpochMs
    until: EpochMs


class Claim(msgspec.Struct, tag='claim', frozen=True):
    """A claim of spans; it takes effect for the parts that are unowned.

    Attributes:
        incarnation: Incarnation that claims the spans.
        spans: Claimed spans.
    """

    incarnation: Incarnation
    spans: tuple[Span, ...]


class Release(msgspec.Struct, tag='release', frozen=True):
    """A release of all that an incarnation owns from a timestamp on.

    Attributes:
        incarnation: Incarnation that releases its ownership.
        since: First released timestamp, in all slices.
    """

    incarnation: Incarnation
    since: EpochMs


KeysRecord = Claim | Release

MAX_AHEAD_MS = 900_000
"""How far a span may extend past the time at which the log appended its claim,
in milliseconds."""

MAX_BACK_MS = 60_000
"""How far a span may begin before that time, in milliseconds."""
