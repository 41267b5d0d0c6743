"""Route and the weighted services that it sends requests to."""

from random import Random

import attrs

from ebonystream._calls import CallKind
from ebonystream._ids import RouteName, Seconds, ServiceName


@attrs.frozen
class Share:
    """Share of a route's requests that a service receives.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the route's other services.
    """

    service: ServiceName
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Route for requests to one host name under one path prefix.

    Attributes:
        name: Unique name in a configuration.
        host: Host name, in lower case.
        prefix: Path prefix; ends with a slash.
        kind: Whether requests may be executed more than once.
        timeout: Longest time for which a request waits, in seconds.
        objective: Latency up to which a response is on time, in seconds.
        attempts: Maximum number of backend servers tried for a request.
        rank: Urgency; 0 is the most urgent.
        shares: Services that receive the requests, with their weights.
    """

    name: RouteName
    host: str
    prefix: str
    kind: CallKind
    timeout: Seconds
    objective: Seconds
    attempts: int
    rank: int
    shares: tuple[Share, ...]


def select_service(route: Route, random: Random) -> ServiceName:
    """Select a service for a request at random by the route's weights.

    Args:
        route: Route that the request matched.
        random: Random number generator.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return random.choices(route.shares, weights)[0].service
