"""A version of the configuration: routes, services and limits."""

from collections.abc import Iterable, Mapping

import attrs

from ebonystream._ids import ConfigurationVersion, Seconds, ServiceName
from ebonystream._validation import (
    make_range_validator,
    quote,
    validate_duration,
    validate_token,
)
from ebonystream.route._route import Route
from ebonystream.workspace import Workspace, find_shared_key

MAX_CONNECTIONS = 1_000_000
MAX_COLD_RATE = 1_000_000
MAX_MESSAGE_BYTES = 1_125_899_906_842_624
MAX_VERSION = 9_007_199_254_740_991

RoutesByHost = Mapping[str, tuple[Route, ...]]
"""Routes by host name, sorted from the longest prefix to the shortest."""


@attrs.frozen(kw_only=True)
class ServiceSettings:
    """Settings shared by the backend servers of a service.

    Attributes:
        health_path: Path at which a server reports its health and load.
        max_connections: Maximum number of connections from all hosts to one
            server.
        cold_start: Time for which a server is cold after its start, in
            seconds.
        cold_rate: Requests per second that one cold server can handle.
    """

    health_path: str = attrs.field(
        validator=[validate_token, attrs.validators.matches_re('/.*')]
    )
    max_connections: int = attrs.field(
        validator=make_range_validator(1, MAX_CONNECTIONS)
    )
    cold_start: Seconds = attrs.field(validator=validate_duration)
    cold_rate: float = attrs.field(
        validator=make_range_validator(0, MAX_COLD_RATE)
    )


@attrs.frozen(kw_only=True)
class RequestLimits:
    """Limits on the requests of callers.

    Attributes:
        head_bytes: Maximum size of the request line and header fields.
        body_bytes: Maximum size of the body.
        receive: Timeout for receiving a whole request, in seconds.
        idle: Timeout of a connection without a request, in seconds.
    """

    head_bytes: int = attrs.field(
        validator=make_range_validator(0, MAX_MESSAGE_BYTES)
    )
    body_bytes: int = attrs.field(
        validator=make_range_validator(0, MAX_MESSAGE_BYTES)
    )
    receive: Seconds = attrs.field(validator=validate_duration)
    idle: Seconds = attrs.field(validator=validate_duration)


@attrs.frozen(kw_only=True)
class RouteConfiguration:
    """One version of the configuration.

    Attributes:
        version: Version number; increases with each change.
        routes: Routes by host name.
        services: Settings of each service.
        limits: Limits on the requests of callers.
        workspaces: Workspaces of the callers; without any, requests need no
            key.
    """

    version: ConfigurationVersion = attrs.field(
        validator=make_range_validator(0, MAX_VERSION)
    )
    routes: RoutesByHost
    services: Mapping[ServiceName, ServiceSettings]
    limits: RequestLimits
    workspaces: tuple[Workspace, ...] = attrs.field(default=())

    @workspaces.validator
    def _require_distinct(
        self,
        attribute: 'attrs.Attribute[tuple[Workspace, ...]]',
        workspaces: tuple[Workspace, ...],
    ) -> None:
        names = {workspace.name for workspace in workspaces}
        if len(names) < len(workspaces):
            raise ValueError('two workspaces with one name')
        shared = find_shared_key(workspaces)
        if shared is not None:
            raise ValueError(
                f'workspaces {quote(shared[0])} and {quote(shared[1])} '
                'share a key'
            )


def index_routes(routes: Iterable[Route]) -> RoutesByHost:
    """Index routes by host name for `match_route`.

    Args:
        routes: All routes of a configuration.
    """
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(host_routes, key=_get_prefix_length, reverse=True))
        for host, host_routes in by_host.items()
    }


def match_route(
    configuration: RouteConfiguration, *, host: str, path: str
) -> Route | None:
    """Return the route with the longest prefix of a request's path.

    Args:
        configuration: Configuration in force.
        host: Host name of the request, without the port.
        path: Path of the request, without the query.
    """
    for route in configuration.routes.get(host.lower(), ()):
        if path.startswith(route.prefix):
            return route
    return None


def _get_prefix_length(route: Route) -> int:
    return len(route.prefix)
