"""The loads that are played: routes, servers, bursts and faults.

The figures of the routes are those of the users' site vrs-gateway.
"""

from collections.abc import Mapping
from types import MappingProxyType

import attrs

from ebonystream._calls import CallKind
from ebonystream._ids import RouteName, Seconds, ServiceName
from ebonystream.route import Route, Share

SERVICE = ServiceName('records')
ZONES = ('a', 'b', 'c')


@attrs.frozen(kw_only=True)
class Demand:
    """Requests of one route.

    Attributes:
        route: The route.
        per_second: Requests a second when calm.
        work: What one takes on an idle server, in seconds, on average.
        patience: How long a caller waits in all, in seconds.
        worth: What an answer on time is worth; a late one, a tenth of it.
    """

    route: Route
    per_second: float
    work: Seconds
    patience: Seconds
    worth: float


def _make_route(
    name: str, kind: CallKind, objective: float, timeout: float, rank: int
) -> Route:
    return Route(
        name=RouteName(name),
        host='shop.example',
        prefix=f'/{name}/',
        kind=kind,
        timeout=Seconds(timeout),
        objective=Seconds(objective),
        attempts=2,
        rank=rank,
        shares=(Share(SERVICE, 1),),
    )


DEMANDS = (
    Demand(
        route=_make_route('lookup', CallKind.IDEMPOTENT, 0.6, 1.5, 2),
        per_second=30,
        work=Seconds(0.22),
        patience=Seconds(1.5),
        worth=1,
    ),
    Demand(
        route=_make_route('booking', CallKind.AT_MOST_ONCE, 0.8, 2, 1),
        per_second=11.3,
        work=Seconds(0.29),
        patience=Seconds(2),
        worth=2,
    ),
    Demand(
        route=_make_route('certificate', CallKind.AT_MOST_ONCE, 0.4, 1.2, 0),
        per_second=9.6,
        work=Seconds(0.15),
        patience=Seconds(1.2),
        worth=3,
    ),
)


@attrs.frozen(kw_only=True)
class Load:
    """One load.

    Attributes:
        seconds: How long callers come.
        hosts: Entry hosts, spread over the zones.
        servers: Backend servers, spread over the zones.
        burst: How many times as many callers come during the trouble.
        zones_out: How many zones get no work during the trouble.
        slow_share: The share of the servers that are slow meanwhile.
        slowness: How many times as long work takes there.
    """

    seconds: Seconds = Seconds(16)
    hosts: int = 17
    servers: int = 35
    burst: float = 1
    zones_out: int = 0
    slow_share: float = 0
    slowness: float = 4


TROUBLE_FROM = Seconds(4)
TROUBLE_UNTIL = Seconds(12)

LOADS: Mapping[str, Load] = MappingProxyType(
    {
        'calm': Load(),
        'burst': Load(burst=1.8),
        'zone out': Load(zones_out=1, burst=1.4),
        'two zones out': Load(zones_out=2, burst=1.5),
        'slow servers': Load(slow_share=0.4, burst=1.3),
    }
)
