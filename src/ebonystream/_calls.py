"""What a request is made of, whatever carries it."""

import enum

Header = tuple[bytes, bytes]
"""One header field: its lower-case name and its value."""

Headers = tuple[Header, ...]
"""Header fields in the order they came."""


class CallKind(enum.Enum):
    """Whether a call may run more than once."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'once'
