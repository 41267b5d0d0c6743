"""A call and its answer, whatever front end carries them."""

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

NO_PATIENCE = Seconds(0)


@attrs.frozen(kw_only=True)
class Call:
    """One request of a customer, checked against its plan.

    Attributes:
        customer: Who sent it.
        route: The route of the plan that it matched.
        service: The service that answers the route.
        kind: Whether it may run more than once.
        method: The HTTP method, such as ``GET``.
        target: The path with its query.
        headers: End-to-end header fields; hop-by-hop ones are gone.
        body: The whole body.
        deadline: When the caller stops waiting, on the monotonic clock.
        key: The idempotency key; always there for `CallKind.ONCE`.
        patience: How much longer than the deadline an attempt that has begun
            is waited for, so that its outcome is learned; in seconds.
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
    patience: Seconds = NO_PATIENCE


@attrs.frozen(kw_only=True)
class Answer:
    """What the caller gets.

    Attributes:
        outcome: What became of the call.
        status: The HTTP status.
        headers: End-to-end header fields.
        body: The whole body.
        error: The kind of error where the system itself answers.
    """

    outcome: Outcome
    status: int
    headers: Headers
    body: bytes
    error: ErrorKind | None = None
