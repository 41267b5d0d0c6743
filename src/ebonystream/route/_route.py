"""Route and the weighted services that it sends requests to."""

from random import Random

import attrs

from ebonystream._calls import CallKind
from ebonystream._ids import RouteName, Seconds, ServiceName
from ebonystream._validation import (
    MAX_DURATION_S,
    make_range_validator,
    quote,
    validate_name,
)

MAX_WEIGHT = 1_000_000
MAX_ATTEMPTS = 1000
MAX_RANK = 1_000_000
MIN_DURATION_S = 0.001

validate_positive_duration = make_range_validator(
    MIN_DURATION_S, MAX_DURATION_S
)


@attrs.frozen
class Share:
    """Share of a route's requests that a service receives.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the route's other services.
    """

    service: ServiceName = attrs.field(validator=validate_name)
    weight: float = attrs.field(validator=make_range_validator(0, MAX_WEIGHT))


@attrs.frozen(kw_only=True)
class Route:
    """Route for requests to one host name under one path prefix.

    A route with an attribute that is out of range raises `ValueError`.

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
        exempt: Whether requests need no key of a workspace.
    """

    name: RouteName
    host: str
    prefix: str
    kind: CallKind
    timeout: Seconds = attrs.field(validator=validate_positive_duration)
    objective: Seconds = attrs.field(validator=validate_positive_duration)
    attempts: int = attrs.field(validator=make_range_validator(1, MAX_ATTEMPTS))
    rank: int = attrs.field(validator=make_range_validator(0, MAX_RANK))
    shares: tuple[Share, ...] = attrs.field()
    exempt: bool = False

    @shares.validator
    def _require_weight(
        self,
        attribute: 'attrs.Attribute[tuple[Share, ...]]',
        shares: tuple[Share, ...],
    ) -> None:
        if not sum(share.weight for share in shares) > 0:
            raise ValueError(f'no service of route {quote(self.name)}')


def list_odds(route: Route) -> dict[ServiceName, float]:
    """Return the share of a route's requests that each service receives.

    Args:
        route: Route that the request matched.
    """
    total = sum(share.weight for share in route.shares)
    odds: dict[ServiceName, float] = {}
    for share in route.shares:
        known = odds.get(share.service, 0)
        odds[share.service] = known + share.weight / total
    return odds


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
