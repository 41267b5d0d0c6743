"""A request of a caller."""

import attrs

from ebonystream._calls import Headers
from ebonystream._ids import AttemptId, Monotonic, WorkspaceName


@attrs.frozen(kw_only=True)
class Request:
    """A complete request as received from a caller.

    Attributes:
        attempt_id: The caller's id of this attempt; empty if it sent none.
        host: Host name that the request is addressed to, without the port.
        method: The HTTP method, such as ``GET``.
        target: Path with the query string.
        path: Path without the query string.
        headers: End-to-end header fields.
        body: Complete body.
        arrived_at: When the first byte arrived, on the monotonic clock.
        deadline: When the caller stops waiting; None if it sent no deadline.
        workspace: Workspace that the request is counted for; None if it has
            none.
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
    workspace: WorkspaceName | None = None
