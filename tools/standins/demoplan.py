"""Configuration of the demo: zones, services, lists and kinds of call."""

from ebonystream._ids import CustomerId, PlanName, RouteName, ServiceName
from ebonystream.configuration import (
    CustomerPlan,
    PlanAllowance,
    PlanClass,
    PlanLists,
    Route,
)
from ebonystream.settings import BackendSettings
from standins.backendserver import ServerSettings
from standins.cluster import Service
from standins.load import CallKind

ZONES = ('ch-central-a', 'ch-central-b', 'ch-central-c')
MOVED_ZONE = 'ch-central-b'

LOOKUP_SERVER = ServerSettings(name='', port=0, default_mean_ms=4)
BOOKING_SERVER = ServerSettings(name='', port=0, default_mean_ms=8)
BACKEND_SETTINGS = BackendSettings(queue=8)

SERVICES = (
    Service(
        name='inspections', servers_per_zone=2, server_settings=LOOKUP_SERVER
    ),
    Service(name='passes', servers_per_zone=2, server_settings=LOOKUP_SERVER),
    Service(
        name='bookings', servers_per_zone=1, server_settings=BOOKING_SERVER
    ),
)


def _make_lookup_kind(
    customer: str, route: str, service: str, target: str
) -> CallKind:
    return CallKind(
        customer=customer,
        route=route,
        service=service,
        method='GET',
        target=target,
        once=False,
        share=5,
    )


def _make_booking_kind(customer: str, route: str, target: str) -> CallKind:
    return CallKind(
        customer=customer,
        route=route,
        service='bookings',
        method='POST',
        target=target,
        once=True,
        share=1,
    )


CALL_KINDS = (
    _make_lookup_kind('verein', 'find-rack', 'inspections', '/racks/7'),
    _make_booking_kind('verein', 'book-inspection', '/bookings'),
    _make_lookup_kind('thistle-loop', 'check-pass', 'passes', '/passes/7'),
    _make_booking_kind('thistle-loop', 'sell-pass', '/sales'),
)

CALLS_PER_SECOND = 1000
BURST_CALLS = 500
DEADLINE_MS = 2000


def make_lists() -> PlanLists:
    """Return the lists of customers and plans, with one plan per customer."""
    names = sorted({kind.customer for kind in CALL_KINDS})
    return PlanLists(
        customers=tuple(_make_customer(name) for name in names),
        plans=tuple(_make_plan(name) for name in names),
    )


def _make_customer(name: str) -> CustomerPlan:
    return CustomerPlan(customer=CustomerId(name), plan=PlanName(name))


def _make_plan(name: str) -> PlanAllowance:
    call_kinds = [kind for kind in CALL_KINDS if kind.customer == name]
    return PlanAllowance(
        plan=PlanName(name),
        plan_class=PlanClass.PROMISED,
        calls_per_second=CALLS_PER_SECOND,
        burst_calls=BURST_CALLS,
        deadline_ms=DEADLINE_MS,
        retries=1,
        routes=tuple(_make_route(kind) for kind in call_kinds),
    )


def _make_route(kind: CallKind) -> Route:
    return Route(
        route=RouteName(kind.route),
        service=ServiceName(kind.service),
        method=kind.method,
        path_prefix=kind.target,
        once=kind.once,
    )
