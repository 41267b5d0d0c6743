"""Types of a request that do not depend on the transport."""

import enum

Header = tuple[bytes, bytes]
"""A header field: lower-case name and value."""

Headers = tuple[Header, ...]
"""Header fields in the order received."""


class CallKind(enum.Enum):
    """Whether a call may be executed more than once."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'once'
