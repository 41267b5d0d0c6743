"""The operators' two lists: plans by customer, and the limits of each plan."""

import enum
from collections import Counter
from collections.abc import Iterable
from typing import Annotated, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

from ebonystream._ids import CustomerId, PlanName, RouteName, ServiceName

Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9.-]{0,63}$')]
"""1 to 64 lower-case letters, digits, dots and dashes."""


Method = Literal['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']
"""Methods that a route may have. HEAD is missing because its response has a
content length but no body, which the response parser would report as a
truncated body."""


class PlanClass(enum.Enum):
    """Priority class of a plan, the highest first."""

    PROMISED = 'promised'
    """Has its guaranteed rate whatever the load of other plans."""

    STANDARD = 'standard'
    """Shares the capacity that promised calls leave."""

    SPARE = 'spare'
    """Is refused first under overload."""


class ListEntry(BaseModel):
    """Base class of list entries; an unknown key is a fault."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class CustomerPlan(ListEntry):
    """One entry of the first list: the plan of a customer."""

    customer: Annotated[CustomerId, Field(min_length=1, max_length=64)]
    plan: Annotated[PlanName, Field(min_length=1, max_length=64)]


class Route(ListEntry):
    """One route that a plan may use.

    Attributes:
        route: The route's name, unique within the plan.
        service: The service that handles its calls.
        method: The HTTP method.
        path_prefix: Prefix of the path; the longest matching one applies.
        once: Whether a call must run at most once.
    """

    route: Annotated[RouteName, Field(min_length=1, max_length=64)]
    service: Annotated[ServiceName, Field(min_length=1, max_length=64)]
    method: Method
    path_prefix: Annotated[str, Field(pattern='^/', max_length=256)]
    once: bool


class PlanAllowance(ListEntry):
    """One entry of the second list: the limits and routes of a plan.

    Attributes:
        plan: The plan's name.
        plan_class: The priority class of its calls.
        calls_per_second: The guaranteed rate over all entry hosts.
        burst_calls: Size of a burst that may exceed the rate.
        deadline_ms: The maximum duration of a call.
        retries: How often an idempotent call may be retried.
        hedging: Whether a late idempotent call gets a hedged second attempt.
        routes: The routes that the plan may use.
    """

    plan: Annotated[PlanName, Field(min_length=1, max_length=64)]
    plan_class: PlanClass
    calls_per_second: Annotated[float, Field(gt=0, le=10_000_000)]
    burst_calls: Annotated[int, Field(ge=1, le=10_000_000)]
    deadline_ms: Annotated[int, Field(ge=1, le=3_600_000)]
    retries: Annotated[int, Field(ge=0, le=5)] = 0
    hedging: bool = False
    routes: Annotated[tuple[Route, ...], Field(min_length=1, max_length=1000)]

    @model_validator(mode='after')
    def check_routes(self) -> Self:
        """Reject two routes with the same name, or method and path prefix."""
        _check_unique('route', (route.route for route in self.routes))
        matches = (
            f'{entry.method} {entry.path_prefix}' for entry in self.routes
        )
        _check_unique('method and path_prefix', matches)
        return self


class PlanLists(ListEntry):
    """Both lists, which are published together."""

    customers: Annotated[tuple[CustomerPlan, ...], Field(max_length=100_000)]
    plans: Annotated[tuple[PlanAllowance, ...], Field(max_length=10_000)]

    @model_validator(mode='after')
    def check_names(self) -> Self:
        """Reject duplicate names and a customer whose plan is missing."""
        _check_unique('customer', (entry.customer for entry in self.customers))
        _check_unique('plan', (plan.plan for plan in self.plans))
        plan_names = {plan.plan for plan in self.plans}
        for customer in self.customers:
            if customer.plan not in plan_names:
                raise ValueError(
                    f'customer {customer.customer} has the plan '
                    f'{customer.plan}, which is not in plans'
                )
        return self


def _check_unique(kind: str, names: Iterable[str]) -> None:
    for name, count in Counter(names).items():
        if count > 1:
            raise ValueError(f'{kind} {name} stands {count} times')
