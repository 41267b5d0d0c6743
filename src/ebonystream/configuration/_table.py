"""Look-ups in the lists in force."""

import attrs

from ebonystream._ids import CustomerId, PlanName
from ebonystream.configuration._lists import PlanAllowance, PlanLists, Route

RoutesByMethod = dict[str, tuple[Route, ...]]


@attrs.frozen
class PlanTable:
    """The two lists, indexed for the look-ups of each call.

    Attributes:
        plans: The plan of each customer.
        routes: The routes by plan and method, longest path prefix first.
    """

    plans: dict[CustomerId, PlanAllowance]
    routes: dict[PlanName, RoutesByMethod]

    def find_plan(self, customer: CustomerId) -> PlanAllowance | None:
        """Return the plan of a customer; None if it has none."""
        return self.plans.get(customer)

    def find_route(
        self, plan: PlanAllowance, method: str, path: str
    ) -> Route | None:
        """Return the route with the longest matching prefix of a path."""
        for route in self.routes[plan.plan].get(method, ()):
            if _matches_prefix(path, route.path_prefix):
                return route
        return None


def make_plan_table(lists: PlanLists) -> PlanTable:
    """Index the two lists for look-ups.

    Args:
        lists: The lists, validated.
    """
    by_name = {plan.plan: plan for plan in lists.plans}
    return PlanTable(
        plans={
            entry.customer: by_name[entry.plan] for entry in lists.customers
        },
        routes={plan.plan: _index_routes(plan) for plan in lists.plans},
    )


def _index_routes(plan: PlanAllowance) -> RoutesByMethod:
    longest_first = sorted(
        plan.routes, key=lambda route: len(route.path_prefix), reverse=True
    )
    methods = {route.method for route in plan.routes}
    return {
        method: tuple(
            entry for entry in longest_first if entry.method == method
        )
        for method in methods
    }


def _matches_prefix(path: str, prefix: str) -> bool:
    """Return whether a path equals the prefix or is below it."""
    if not path.startswith(prefix):
        return False
    rest = path[len(prefix) :]
    return not rest or prefix.endswith('/') or rest.startswith('/')
