"""The operators' two lists: customers' plans, and what each plan may use."""

import enum
from collections import Counter
from collections.abc import Iterable
from typing import Annotated, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

from ebonystream._ids import CustomerId, PlanName, RouteName, ServiceName

Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9.-]{0,63}$')]
"""Lower-case letters, digits, dots and dashes, up to 64 of them."""


Method = Literal['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']
"""Methods that a route may have; the answer to a HEAD has a length and no
body, which the parser of answers can't tell from a cut one."""


class PlanClass(enum.Enum):
    """What a plan's calls were promised, the strongest first."""

    PROMISED = 'promised'
    """Keeps its guaranteed rate whatever others send."""

    STANDARD = 'standard'
    """Shares what promised calls leave."""

    SPARE = 'spare'
    """Is refused first."""


class Entry(BaseModel):
    """One entry of a list: an unknown key is a fault."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class CustomerPlan(Entry):
    """One line of the first list: which plan a customer has."""

    customer: Annotated[CustomerId, Field(min_length=1, max_length=64)]
    plan: Annotated[PlanName, Field(min_length=1, max_length=64)]


class Route(Entry):
    """One route that a plan may use.

    Attributes:
        route: The route's name, unique within the plan.
        service: The service that answers it.
        method: The HTTP method.
        path_prefix: What the path starts with; the longest match counts.
        once: Whether a call must run at most once.
    """

    route: Annotated[RouteName, Field(min_length=1, max_length=64)]
    service: Annotated[ServiceName, Field(min_length=1, max_length=64)]
    method: Method
    path_prefix: Annotated[str, Field(pattern='^/', max_length=256)]
    once: bool


class PlanAllowance(Entry):
    """One line of the second list: what a plan may use.

    Attributes:
        plan: The plan's name.
        plan_class: What its calls were promised.
        calls_per_second: The rate that is guaranteed over all entry hosts.
        burst_calls: How many calls may come at once beyond the rate.
        deadline_ms: The longest that a call may take.
        retries: How often an idempotent call may be sent again.
        hedging: Whether a late idempotent call is sent a second time.
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
        """Refuse two routes of one name or of one method and prefix."""
        _check_unique('route', (route.route for route in self.routes))
        shapes = (f'{one.method} {one.path_prefix}' for one in self.routes)
        _check_unique('method and path_prefix', shapes)
        return self


class Lists(Entry):
    """Both lists, which are published together."""

    customers: Annotated[tuple[CustomerPlan, ...], Field(max_length=100_000)]
    plans: Annotated[tuple[PlanAllowance, ...], Field(max_length=10_000)]

    @model_validator(mode='after')
    def check_names(self) -> Self:
        """Refuse doubled names and a customer whose plan is missing."""
        _check_unique('customer', (one.customer for one in self.customers))
        _check_unique('plan', (one.plan for one in self.plans))
        known = {one.plan for one in self.plans}
        for customer in self.customers:
            if customer.plan not in known:
                raise ValueError(
                    f'customer {customer.customer} has the plan '
                    f'{customer.plan}, which is not in plans'
                )
        return self


def _check_unique(what: str, names: Iterable[str]) -> None:
    for name, count in Counter(names).items():
        if count > 1:
            raise ValueError(f'{what} {name} stands {count} times')
