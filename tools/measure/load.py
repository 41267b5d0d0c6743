"""The load on a policy: calls over time, and slowdowns of servers."""

import math
from functools import partial
from random import Random

import attrs

from ebonystream._ids import CustomerId
from ebonystream.configuration import PlanClass
from measure.loop import Loop
from measure.world import SLOTS, Arrival, Server, Site

PROCESSING_TIME_LOG_SD = math.sqrt(math.log(2))
"""Standard deviation of the logarithm of a call's processing time.

With this value, the standard deviation of the processing time equals its
mean.
"""


@attrs.frozen
class Load:
    """The load of a run.

    Attributes:
        site: The site that receives the calls.
        host_count: Number of entry hosts.
        utilization: Load as a share of the capacity of all slots.
        call_count: Approximate number of calls.
        seed: Seed of all random number generators.
        has_noisy_customer: Whether one standard customer sends in bursts.
        has_slow_servers: Whether servers suddenly slow down.
        has_zone_out: Whether a zone is taken out of service and restored.
    """

    site: Site
    host_count: int
    utilization: float
    call_count: int
    seed: int
    has_noisy_customer: bool = False
    has_slow_servers: bool = False
    has_zone_out: bool = False

    @property
    def calls_per_second(self) -> float:
        """Number of calls per second."""
        return (
            self.utilization
            * self.site.server_count
            * SLOTS
            / self.site.mean_processing_time
        )

    @property
    def duration(self) -> float:
        """Time during which calls are sent, in seconds."""
        return self.call_count / self.calls_per_second


CUSTOMERS = (
    ('promised-1', PlanClass.PROMISED, 0.2),
    ('promised-2', PlanClass.PROMISED, 0.2),
    ('standard-1', PlanClass.STANDARD, 0.3),
    ('noisy', PlanClass.STANDARD, 0.1),
    ('spare-1', PlanClass.SPARE, 0.2),
)
"""Name, plan class and share of the calls of each customer."""

BURST_SHARE = 0.2
"""Share of each second in which the noisy customer sends its calls."""


def draw_arrivals(load: Load) -> list[Arrival]:
    """Draw the calls of a run, which are the same for each policy."""
    random = Random(f'{load.seed} arrivals')
    arrivals = []
    for name, plan_class, call_share in CUSTOMERS:
        now = float(0)
        while now < load.duration:
            now += random.expovariate(load.calls_per_second * call_share)
            sent_at = (
                _compress_into_burst(now)
                if load.has_noisy_customer and name == 'noisy'
                else now
            )
            arrivals.append(
                Arrival(
                    sent_at,
                    random.randrange(load.host_count),
                    CustomerId(name),
                    plan_class,
                    _draw_processing_time(
                        load.site.mean_processing_time, random
                    ),
                )
            )
    return sorted(arrivals, key=lambda arrival: arrival.sent_at)


def _compress_into_burst(now: float) -> float:
    second = math.floor(now)
    return second + (now - second) * BURST_SHARE


def _draw_processing_time(mean: float, random: Random) -> float:
    return random.lognormvariate(
        math.log(mean) - PROCESSING_TIME_LOG_SD**2 / 2, PROCESSING_TIME_LOG_SD
    )


SLOWDOWN_INTERVAL_SECONDS = 1.0
SLOWDOWN_SECONDS = 1.0
SLOWDOWN = 8.0
"""Factor on the processing time of a slow server."""


def schedule_slowdowns(load: Load, servers: list[Server], loop: Loop) -> None:
    """Schedule slowdowns of random servers at random times."""
    random = Random(f'{load.seed} slow')
    for start in range(math.ceil(load.duration / SLOWDOWN_INTERVAL_SECONDS)):
        server = random.choice(servers)
        starts_at = (start + random.random()) * SLOWDOWN_INTERVAL_SECONDS
        loop.call_after(starts_at, partial(_set_slowdown, server, SLOWDOWN))
        loop.call_after(
            starts_at + SLOWDOWN_SECONDS, partial(_set_slowdown, server, 1)
        )


def _set_slowdown(server: Server, slowdown: float) -> None:
    server.slowdown = slowdown
