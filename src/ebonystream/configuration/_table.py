"""Look-ups in the lists that are in force."""

import attrs

from ebonystream._ids import CustomerId, PlanName
from ebonystream.configuration._lists import Lists, PlanAllowance, Route

RoutesByMethod = dict[str, tuple[Route, ...]]


@attrs.frozen
class PlanTable:
    """The two lists, indexed for one look-up a call.

    Attributes:
        plans: The plan of each customer.
        routes: For each plan and method, routes with the longest prefix first.
    """

    plans: dict[CustomerId, PlanAllowance]
    routes: dict[PlanName, RoutesByMethod]

    def find_plan(self, customer: CustomerId) -> PlanAllowance | None:
        """Give the plan of a customer, if it has one."""
        return self.plans.get(customer)

    def find_route(
        self, plan: PlanAllowance, method: str, path: str
    ) -> Route | None:
        """Give the route with the longest prefix of a path, if any."""
        for route in self.routes[plan.plan].get(method, ()):
            if _is_below(path, route.path_prefix):
                return route
        return None


def index_lists(lists: Lists) -> PlanTable:
    """Index the two lists for look-ups.

    Args:
        lists: Lists that passed their own checks.
    """
    by_name = {plan.plan: plan for plan in lists.plans}
    return PlanTable(
        plans={one.customer: by_name[one.plan] for one in lists.customers},
        routes={plan.plan: _index_routes(plan) for plan in lists.plans},
    )


def _index_routes(plan: PlanAllowance) -> RoutesByMethod:
    longest_first = sorted(
        plan.routes, key=lambda route: len(route.path_prefix), reverse=True
    )
    methods = {route.method for route in plan.routes}
    return {
        method: tuple(one for one in longest_first if one.method == method)
        for method in methods
    }


def _is_below(path: str, prefix: str) -> bool:
    """Tell whether a path is the prefix itself or lies below it."""
    if not path.startswith(prefix):
        return False
    rest = path[len(prefix) :]
    return not rest or prefix.endswith('/') or rest.startswith('/')
