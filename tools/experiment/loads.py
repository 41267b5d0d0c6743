"""The simulated loads: routes, servers, bursts and faults.

The figures of the routes come from the users' site vrs-gateway.
"""

from collections.abc import Mapping
from types import MappingProxyType

import attrs

from ebonystream._calls import CallKind
from ebonystream._ids import RouteName, Seconds, ServiceName
from ebonystream.route import Route, Share

SERVICE = ServiceName('records')
ZONES = ('a', 'b', 'c')


UNLIMITED_PROBE_RATE = 1_000_000.0
USED_PROBE_SHARE = 0.9
"""Share of the allowed probes that hosts use."""


@attrs.frozen(kw_only=True)
class Demand:
    """The requests made on one route.

    Attributes:
        route: The route.
        requests_per_second: Request rate outside of bursts.
        mean_processing_time: Mean processing time on an idle server, in
            seconds.
        caller_timeout: How long a caller waits in total, including a retry,
            in seconds.
        worth: Value of a response within the route's objective; a late
            response is worth a tenth of it.
    """

    route: Route
    requests_per_second: float
    mean_processing_time: Seconds
    caller_timeout: Seconds
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


DEMANDS: tuple[Demand, ...] = (
    Demand(
        route=_make_route('lookup', CallKind.IDEMPOTENT, 0.6, 1.5, 2),
        requests_per_second=30,
        mean_processing_time=Seconds(0.22),
        caller_timeout=Seconds(1.5),
        worth=1,
    ),
    Demand(
        route=_make_route('booking', CallKind.AT_MOST_ONCE, 0.8, 2, 1),
        requests_per_second=11.3,
        mean_processing_time=Seconds(0.29),
        caller_timeout=Seconds(2),
        worth=2,
    ),
    Demand(
        route=_make_route('certificate', CallKind.AT_MOST_ONCE, 0.4, 1.2, 0),
        requests_per_second=9.6,
        mean_processing_time=Seconds(0.15),
        caller_timeout=Seconds(1.2),
        worth=3,
    ),
)


CLASSES: tuple[Demand, ...] = (
    Demand(
        route=_make_route('urgent', CallKind.IDEMPOTENT, 0.26, 1.038, 0),
        requests_per_second=80,
        mean_processing_time=Seconds(0.089),
        caller_timeout=Seconds(1.038),
        worth=10,
    ),
    Demand(
        route=_make_route('patient', CallKind.IDEMPOTENT, 3, 4, 3),
        requests_per_second=90,
        mean_processing_time=Seconds(0.56),
        caller_timeout=Seconds(4),
        worth=1,
    ),
)
"""An urgent class and a delay-tolerant one that share a service."""


@attrs.frozen(kw_only=True)
class Load:
    """A load, which differs from the calm one during a disturbance.

    Attributes:
        duration: How long requests arrive, in seconds.
        host_count: Number of entry hosts, spread over the zones.
        server_count: Number of backend servers, spread over the zones.
        burst_factor: Factor on the request rate during the disturbance.
        zones_out_count: Number of zones that receive no requests during the
            disturbance.
        slow_server_share: Share of the servers that are slow during the
            disturbance.
        slowdown: Factor on the processing time of a slow server.
        servers_left_share: Share of the servers that remain during the
            disturbance.
        slots: Number of requests that a server handles concurrently.
        demands: The requests of each route.
        probe_rate: Probes per second that a server gets from all hosts; None
            if they are not limited.
        refusing_share: Share of the servers that refuse all requests during
            the disturbance, while they report that they are idle.
        gossip_parts: Number of parts of the hosts that cannot see each other.
    """

    duration: Seconds = Seconds(16)
    host_count: int = 17
    server_count: int = 35
    burst_factor: float = 1
    zones_out_count: int = 0
    slow_server_share: float = 0
    slowdown: float = 4
    servers_left_share: float = 1
    slots: int = 2
    demands: tuple[Demand, ...] = DEMANDS
    probe_rate: float | None = None
    gossip_parts: int = 1
    refusing_share: float = 0

    def get_host_probe_rate(self) -> float:
        """Return the probes per second that one host may send."""
        if self.probe_rate is None:
            return UNLIMITED_PROBE_RATE
        allowed = self.probe_rate * self.server_count
        return allowed * USED_PROBE_SHARE / self.host_count

    def get_processing_time(self, route: RouteName) -> Seconds:
        """Return the mean processing time of a route, in seconds.

        Args:
            route: Name of the route.
        """
        return next(
            demand.mean_processing_time
            for demand in self.demands
            if demand.route.name == route
        )


DISTURBANCE_START = Seconds(4)
DISTURBANCE_END = Seconds(12)

LOADS: Mapping[str, Load] = MappingProxyType(
    {
        'calm': Load(),
        'burst': Load(burst_factor=1.8),
        'zone out': Load(zones_out_count=1, burst_factor=1.4),
        'two zones out': Load(zones_out_count=2, burst_factor=1.5),
        'slow servers': Load(slow_server_share=0.4, burst_factor=1.3),
    }
)

_CLASS_LOAD = Load(
    host_count=100,
    server_count=20,
    slots=6,
    demands=CLASSES,
    probe_rate=60,
)

CLASS_LOADS: Mapping[str, Load] = MappingProxyType(
    {
        'classes, calm': _CLASS_LOAD,
        'classes, servers lost': attrs.evolve(
            _CLASS_LOAD, duration=Seconds(18), servers_left_share=0.4
        ),
        'classes, burst': attrs.evolve(
            _CLASS_LOAD, duration=Seconds(18), burst_factor=1.8
        ),
        'classes, two slots': attrs.evolve(
            _CLASS_LOAD,
            duration=Seconds(18),
            host_count=48,
            server_count=60,
            slots=2,
            servers_left_share=0.4,
        ),
        'classes, hardly any servers': attrs.evolve(
            _CLASS_LOAD,
            duration=Seconds(18),
            servers_left_share=0.25,
            burst_factor=2,
        ),
        'classes, two halves': attrs.evolve(
            _CLASS_LOAD,
            duration=Seconds(18),
            servers_left_share=0.4,
            gossip_parts=2,
        ),
        'classes, servers refuse': attrs.evolve(
            _CLASS_LOAD, duration=Seconds(18), refusing_share=0.8
        ),
        'classes, no gossip': attrs.evolve(
            _CLASS_LOAD,
            duration=Seconds(18),
            servers_left_share=0.4,
            gossip_parts=100,
        ),
    }
)
"""Loads of two classes that compete for too little capacity."""
