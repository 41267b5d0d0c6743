"""The configuration in force: routes, services and limits of one version."""

from collections.abc import Iterable, Mapping

import attrs

from ebonystream._ids import ConfigurationVersion, Seconds, ServiceName
from ebonystream.route._route import Route

RoutesByHost = Mapping[str, tuple[Route, ...]]
"""The routes of each host name, the longest prefix first."""


@attrs.frozen(kw_only=True)
class ServiceSettings:
    """What a service's backend servers ask of their callers.

    Attributes:
        health_path: Where a server tells its health and load.
        max_connections: Connections that one server takes from all hosts.
        cold_start: How long a server is cold after its start, in seconds.
        cold_rate: Requests a second that one cold server bears.
    """

    health_path: str
    max_connections: int
    cold_start: Seconds
    cold_rate: float


@attrs.frozen(kw_only=True)
class RequestLimits:
    """What callers may send.

    Attributes:
        head_bytes: The longest request line with its header fields.
        body_bytes: The longest body.
        receive: How long a request may take to arrive, in seconds.
        idle: How long a connection may stay without a request, in seconds.
    """

    head_bytes: int
    body_bytes: int
    receive: Seconds
    idle: Seconds


@attrs.frozen(kw_only=True)
class RouteConfiguration:
    """One version of the configuration.

    Attributes:
        version: Its version; a later one is higher.
        routes: The routes of each host name.
        services: The terms of each service.
        limits: What callers may send.
    """

    version: ConfigurationVersion
    routes: RoutesByHost
    services: Mapping[ServiceName, ServiceSettings]
    limits: RequestLimits


def index_routes(routes: Iterable[Route]) -> RoutesByHost:
    """Sort routes for `match_route`.

    Args:
        routes: All routes of a configuration.
    """
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(kept, key=_measure_prefix, reverse=True))
        for host, kept in by_host.items()
    }


def match_route(
    configuration: RouteConfiguration, *, host: str, path: str
) -> Route | None:
    """Find the route of a request: the longest prefix that begins its path.

    Args:
        configuration: The configuration in force.
        host: The host name that the request names, without its port.
        path: The path without its query.
    """
    for route in configuration.routes.get(host.lower(), ()):
        if path.startswith(route.prefix):
            return route
    return None


def _measure_prefix(route: Route) -> int:
    return len(route.prefix)
