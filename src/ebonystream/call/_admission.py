"""Admission: a received request becomes a call of a customer's plan."""

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
"""How much longer than its deadline a call that must run once is waited for:
a second send of its key then gets the outcome in place of "unknown"."""

Admit = Callable[[Received], Call]
"""Makes a call of a request, or raises the error that is answered."""

ParseKey = Callable[[bytes], IdempotencyKey]
"""Reads an idempotency key, or raises `ErrorKind.KEY_MALFORMED`."""


def make_admission(
    *,
    get_plans: Callable[[], PlanTable | None],
    parse_key: ParseKey,
) -> Admit:
    """Make the function that admits calls.

    Args:
        get_plans: Gives the plans in force, or None before the first.
        parse_key: Reads an idempotency key.
    """

    def admit(received: Received) -> Call:
        plans = get_plans()
        if plans is None:
            raise EbonystreamError(ErrorKind.NOT_CONFIGURED)
        customer, plan = _find_plan(received, plans)
        path = received.target.partition('?')[0]
        route = plans.find_route(plan, received.method, path)
        if route is None:
            shape = f'{received.method} {path}'
            raise EbonystreamError(ErrorKind.UNKNOWN_ROUTE, shape)
        return Call(
            customer=customer,
            route=route.route,
            service=route.service,
            kind=CallKind.AT_MOST_ONCE if route.once else CallKind.IDEMPOTENT,
            method=received.method,
            target=received.target,
            headers=received.headers,
            body=received.body,
            deadline=_find_deadline(received, plan),
            key=_find_key(received, route, parse_key),
            patience=ONCE_PATIENCE if route.once else NO_PATIENCE,
        )

    return admit


def _find_plan(
    received: Received, plans: PlanTable
) -> tuple[CustomerId, PlanAllowance]:
    named = received.find_header(CUSTOMER_HEADER)
    if named is None:
        raise EbonystreamError(
            ErrorKind.UNKNOWN_CUSTOMER, 'X-Customer is missing'
        )
    customer = CustomerId(named.decode('latin-1'))
    plan = plans.find_plan(customer)
    if plan is None:
        raise EbonystreamError(ErrorKind.UNKNOWN_CUSTOMER, customer)
    return customer, plan


def _find_deadline(received: Received, plan: PlanAllowance) -> Monotonic:
    sent = received.find_header(TIMEOUT_HEADER)
    timeout_ms = plan.deadline_ms
    if sent is not None:
        timeout_ms = min(timeout_ms, _parse_timeout(sent))
    return Monotonic(received.at + timeout_ms / MS_PER_SECOND)


def _parse_timeout(sent: bytes) -> int:
    if not sent.isdigit():
        raise EbonystreamError(
            ErrorKind.DEADLINE_MALFORMED, sent.decode('latin-1')
        )
    return int(sent)


def _find_key(
    received: Received, route: Route, parse_key: ParseKey
) -> IdempotencyKey | None:
    if not route.once:
        return None
    sent = received.find_headers(KEY_HEADER)
    if not sent:
        raise EbonystreamError(ErrorKind.KEY_MISSING, route.route)
    if len(sent) > 1:
        raise EbonystreamError(ErrorKind.KEY_MALFORMED, 'more than one key')
    return parse_key(sent[0])
