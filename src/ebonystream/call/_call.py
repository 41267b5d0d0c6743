"""A call and its response, independent of the protocol of the front end."""

import attrs

from ebonystream._calls import CallKind, Headers
from ebonystream._ids import (
    CustomerId,
    IdempotencyKey,
    Monotonic,
    RouteName,
    Seconds,
    ServiceName,
)
from ebonystream.errors import ErrorKind, Outcome

NO_GRACE_PERIOD = Seconds(0)


@attrs.frozen(kw_only=True)
class Call:
    """A request that the plan of its customer admits.

    Attributes:
        customer: Customer that sent the request.
        route: Route of the plan that the request matches.
        service: Service that handles the route.
        kind: Whether the call may be executed more than once.
        method: The HTTP method, such as ``GET``.
        target: Path with the query string.
        headers: End-to-end header fields.
        body: Complete body.
        deadline: When the caller stops waiting, on the monotonic clock.
        key: The idempotency key; never None for `CallKind.AT_MOST_ONCE`.
        grace_period: How long after the deadline an attempt in flight may still
            complete, so that its outcome becomes known; in seconds.
    """

    customer: CustomerId
    route: RouteName
    service: ServiceName
    kind: CallKind
    method: str
    target: str
    headers: Headers
    body: bytes
    deadline: Monotonic
    key: IdempotencyKey | None = None
    grace_period: Seconds = NO_GRACE_PERIOD


@attrs.frozen(kw_only=True)
class CallResponse:
    """A response to a caller.

    Attributes:
        outcome: Whether the call was executed.
        status: HTTP status code.
        headers: End-to-end header fields.
        body: Complete body.
        error: Kind of error if an entry host generated the response.
    """

    outcome: Outcome
    status: int
    headers: Headers
    body: bytes
    error: ErrorKind | None = None
