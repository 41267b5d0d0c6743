"""Admission: checks a request against the plan of its customer."""

from collections.abc import Callable

from ebonystream._calls import CallKind
from ebonystream._ids import (
    CustomerId,
    IdempotencyKey,
    Monotonic,
    Seconds,
)
from ebonystream._timers import MS_PER_SECOND
from ebonystream.call._call import NO_PATIENCE, Call
from ebonystream.call._received import (
    CUSTOMER_HEADER,
    KEY_HEADER,
    TIMEOUT_HEADER,
    Received,
)
from ebonystream.configuration import PlanAllowance, PlanTable, Route
from ebonystream.errors import EbonystreamError, ErrorKind

ONCE_PATIENCE = Seconds(30.0)
"""How long after its deadline an at-most-once call may still complete, in
seconds. A retry with the same key then gets its outcome instead of "unknown".
"""

Admit = Callable[[Received], Call]
"""Admit a request as a call, or raise `EbonystreamError`."""

ParseKey = Callable[[bytes], IdempotencyKey]
"""Parse an idempotency key.

Raises `EbonystreamError` of the kind `KEY_MALFORMED`.
"""


def make_admission(
    *,
    get_plans: Callable[[], PlanTable | None],
    parse_key: ParseKey,
) -> Admit:
    """Return a function that admits requests.

    Args:
        get_plans: Returns the current plans; None before the first
            configuration has been received.
        parse_key: Parses an idempotency key.
    """

    def admit(received: Received) -> Call:
        plans = get_plans()
        if plans is None:
            raise EbonystreamError(ErrorKind.NOT_CONFIGURED)
        customer, plan = _find_plan(received, plans)
        path = received.target.partition('?')[0]
        route = plans.find_route(plan, received.method, path)
        if route is None:
            detail = f'{received.method} {path}'
            raise EbonystreamError(ErrorKind.UNKNOWN_ROUTE, detail)
        return Call(
            customer=customer,
            route=route.route,
            service=route.service,
            kind=CallKind.AT_MOST_ONCE if route.once else CallKind.IDEMPOTENT,
            method=received.method,
            target=received.target,
            headers=received.headers,
            body=received.body,
            deadline=_compute_deadline(received, plan),
            key=_find_key(received, route, parse_key),
            patience=ONCE_PATIENCE if route.once else NO_PATIENCE,
        )

    return admit


def _find_plan(
    received: Received, plans: PlanTable
) -> tuple[CustomerId, PlanAllowance]:
    value = received.find_header(CUSTOMER_HEADER)
    if value is None:
        raise EbonystreamError(
            ErrorKind.UNKNOWN_CUSTOMER, 'X-Customer is missing'
        )
    customer = CustomerId(value.decode('latin-1'))
    plan = plans.find_plan(customer)
    if plan is None:
        raise EbonystreamError(ErrorKind.UNKNOWN_CUSTOMER, customer)
    return customer, plan


def _compute_deadline(received: Received, plan: PlanAllowance) -> Monotonic:
    value = received.find_header(TIMEOUT_HEADER)
    timeout_ms = plan.deadline_ms
    if value is not None:
        timeout_ms = min(timeout_ms, _parse_timeout_ms(value))
    return Monotonic(received.at + timeout_ms / MS_PER_SECOND)


def _parse_timeout_ms(value: bytes) -> int:
    if not value.isdigit():
        raise EbonystreamError(
            ErrorKind.DEADLINE_MALFORMED, value.decode('latin-1')
        )
    return int(value)


def _find_key(
    received: Received, route: Route, parse_key: ParseKey
) -> IdempotencyKey | None:
    if not route.once:
        return None
    keys = received.find_headers(KEY_HEADER)
    if not keys:
        raise EbonystreamError(ErrorKind.KEY_MISSING, route.route)
    if len(keys) > 1:
        raise EbonystreamError(ErrorKind.KEY_MALFORMED, 'more than one key')
    return parse_key(keys[0])
