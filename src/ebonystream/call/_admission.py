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
from ebonystream.call._call import NO_GRACE_PERIOD, Call
from ebonystream.call._request import (
    CUSTOMER_HEADER,
    KEY_HEADER,
    TIMEOUT_HEADER,
    CallRequest,
)
from ebonystream.configuration import PlanAllowance, PlanTable, Route
from ebonystream.errors import EbonystreamError, ErrorKind

AT_MOST_ONCE_GRACE_PERIOD = Seconds(30.0)
"""How long after its deadline an at-most-once call may still complete, in
seconds. A retry with the same key then gets its outcome instead of "unknown".
"""

AdmitRequest = Callable[[CallRequest], Call]
"""Admits a request as a call, or raises `EbonystreamError`."""

ParseKey = Callable[[bytes], IdempotencyKey]
"""Parses an idempotency key.

Raises `EbonystreamError` of the kind `KEY_MALFORMED`.
"""


def make_admit_request(
    *,
    get_plans: Callable[[], PlanTable | None],
    parse_key: ParseKey,
) -> AdmitRequest:
    """Return a function that admits requests.

    Args:
        get_plans: Returns the current plans; None before the first
            configuration has been received.
        parse_key: Parses an idempotency key.
    """

    def admit(request: CallRequest) -> Call:
        plans = get_plans()
        if plans is None:
            raise EbonystreamError(ErrorKind.NOT_CONFIGURED)
        customer, plan = _find_plan(request, plans)
        path = request.target.partition('?')[0]
        route = plans.find_route(plan, request.method, path)
        if route is None:
            detail = f'{request.method} {path}'
            raise EbonystreamError(ErrorKind.UNKNOWN_ROUTE, detail)
        return Call(
            customer=customer,
            route=route.route,
            service=route.service,
            kind=CallKind.AT_MOST_ONCE if route.once else CallKind.IDEMPOTENT,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            deadline=_compute_deadline(request, plan),
            key=_find_key(request, route, parse_key),
            grace_period=AT_MOST_ONCE_GRACE_PERIOD
            if route.once
            else NO_GRACE_PERIOD,
        )

    return admit


def _find_plan(
    request: CallRequest, plans: PlanTable
) -> tuple[CustomerId, PlanAllowance]:
    value = request.find_header(CUSTOMER_HEADER)
    if value is None:
        raise EbonystreamError(
            ErrorKind.UNKNOWN_CUSTOMER, 'X-Customer is missing'
        )
    customer = CustomerId(value.decode('latin-1'))
    plan = plans.find_plan(customer)
    if plan is None:
        raise EbonystreamError(ErrorKind.UNKNOWN_CUSTOMER, customer)
    return customer, plan


def _compute_deadline(request: CallRequest, plan: PlanAllowance) -> Monotonic:
    value = request.find_header(TIMEOUT_HEADER)
    timeout_ms = plan.deadline_ms
    if value is not None:
        timeout_ms = min(timeout_ms, _parse_timeout_ms(value))
    return Monotonic(request.received_at + timeout_ms / MS_PER_SECOND)


def _parse_timeout_ms(value: bytes) -> int:
    if not value.isdigit():
        raise EbonystreamError(
            ErrorKind.DEADLINE_MALFORMED, value.decode('latin-1')
        )
    return int(value)


def _find_key(
    request: CallRequest, route: Route, parse_key: ParseKey
) -> IdempotencyKey | None:
    if not route.once:
        return None
    keys = request.find_headers(KEY_HEADER)
    if not keys:
        raise EbonystreamError(ErrorKind.KEY_MISSING, route.route)
    if len(keys) > 1:
        raise EbonystreamError(ErrorKind.KEY_MALFORMED, 'more than one key')
    return parse_key(keys[0])
