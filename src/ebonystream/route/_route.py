"""One route and the services that share its requests."""

from random import Random

import attrs

from ebonystream._calls import CallKind
from ebonystream._ids import RouteName, Seconds, ServiceName


@attrs.frozen
class Share:
    """A service's part of a route.

    Attributes:
        service: The service.
        weight: Its part, beside the weights of the route's other services.
    """

    service: ServiceName
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Requests of one host name below one path prefix.

    Attributes:
        name: Its name.
        host: The host name, in lower case.
        prefix: The beginning of the path; ends with a slash.
        kind: Whether its requests may run more than once.
        timeout: The longest that a request is kept waiting, in seconds.
        objective: Within which an answer is on time, in seconds.
        attempts: The most backend servers that one request is sent to.
        rank: Its urgency; 0 is the most urgent.
        shares: The services that answer it.
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
    """Pick the service of one request, by the weights of the route.

    Args:
        route: The route.
        random: The source of chance.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return random.choices(route.shares, weights)[0].service
