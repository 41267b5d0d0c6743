"""One attempt of a caller."""

import attrs

from ebonystream._calls import Headers
from ebonystream._ids import AttemptId, Monotonic


@attrs.frozen(kw_only=True)
class Request:
    """A whole request as it came from a caller.

    Attributes:
        attempt_id: Names the attempt; empty where the caller gave no name.
        host: The host name that it asks, without a port.
        method: The HTTP method, such as ``GET``.
        target: The path with its query.
        path: The path alone.
        headers: End-to-end header fields.
        body: The whole body.
        arrived_at: When its first byte came, on the monotonic clock.
        deadline: When the caller stops waiting; None where it doesn't say.
    """

    attempt_id: AttemptId
    host: str
    method: str
    target: str
    path: str
    headers: Headers
    body: bytes
    arrived_at: Monotonic
    deadline: Monotonic | None
