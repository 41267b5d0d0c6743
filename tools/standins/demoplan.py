"""What the demo runs: zones, services, the two lists, and the calls."""

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
from standins.load import Job

ZONES = ('ch-central-a', 'ch-central-b', 'ch-central-c')
MOVED_ZONE = 'ch-central-b'

LOOKUP = ServerSettings(name='', port=0, default_mean_ms=4)
BOOKING = ServerSettings(name='', port=0, default_mean_ms=8)
LIMITS = BackendSettings(queue=8)

SERVICES = (
    Service(name='inspections', per_zone=2, built=LOOKUP),
    Service(name='passes', per_zone=2, built=LOOKUP),
    Service(name='bookings', per_zone=1, built=BOOKING),
)


def _look_up(customer: str, route: str, service: str, target: str) -> Job:
    return Job(
        customer=customer,
        route=route,
        service=service,
        method='GET',
        target=target,
        once=False,
        share=5,
    )


def _book(customer: str, route: str, target: str) -> Job:
    return Job(
        customer=customer,
        route=route,
        service='bookings',
        method='POST',
        target=target,
        once=True,
        share=1,
    )


JOBS = (
    _look_up('verein', 'find-rack', 'inspections', '/racks/7'),
    _book('verein', 'book-inspection', '/bookings'),
    _look_up('thistle-loop', 'check-pass', 'passes', '/passes/7'),
    _book('thistle-loop', 'sell-pass', '/sales'),
)

CALLS_PER_SECOND = 1000
BURST_CALLS = 500
DEADLINE_MS = 2000


def make_lists() -> PlanLists:
    """Make both lists, with a plan for each customer."""
    names = sorted({job.customer for job in JOBS})
    return PlanLists(
        customers=tuple(_make_customer(name) for name in names),
        plans=tuple(_make_plan(name) for name in names),
    )


def _make_customer(name: str) -> CustomerPlan:
    return CustomerPlan(customer=CustomerId(name), plan=PlanName(name))


def _make_plan(name: str) -> PlanAllowance:
    jobs = [job for job in JOBS if job.customer == name]
    return PlanAllowance(
        plan=PlanName(name),
        plan_class=PlanClass.PROMISED,
        calls_per_second=CALLS_PER_SECOND,
        burst_calls=BURST_CALLS,
        deadline_ms=DEADLINE_MS,
        retries=1,
        routes=tuple(_make_route(job) for job in jobs),
    )


def _make_route(job: Job) -> Route:
    return Route(
        route=RouteName(job.route),
        service=ServiceName(job.service),
        method=job.method,
        path_prefix=job.target,
        once=job.once,
    )
