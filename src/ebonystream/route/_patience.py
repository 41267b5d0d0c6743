"""Which routes have time to spare for more urgent requests of a service."""

from ebonystream._ids import ServiceName
from ebonystream.route._configuration import RouteConfiguration
from ebonystream.route._route import Route

MIN_OBJECTIVE_RATIO = 4
"""Least objective of a route that has time to spare, as a multiple of the
shortest objective of more urgent routes. With less, requests that wait miss
their own objective, and more is lost than the urgent ones gain."""


def has_time_to_spare(
    configuration: RouteConfiguration, route: Route, service: ServiceName
) -> bool:
    """Return whether requests of a route can wait for more urgent ones.

    Args:
        configuration: Configuration in force.
        route: The route.
        service: Service that both use.
    """
    urgent = [
        other.objective
        for routes in configuration.routes.values()
        for other in routes
        if other.rank < route.rank and _uses(other, service)
    ]
    if not urgent:
        return False
    return route.objective >= MIN_OBJECTIVE_RATIO * min(urgent)


def _uses(route: Route, service: ServiceName) -> bool:
    return any(
        share.service == service and share.weight > 0 for share in route.shares
    )
