"""What is sent to a policy: calls over time, and servers that turn slow."""

import math
from functools import partial
from random import Random

import attrs

from ebonystream._ids import CustomerId
from ebonystream.configuration import PlanClass
from measure.loop import Loop
from measure.world import SLOTS, Arrival, Server, Site

SPREAD = math.sqrt(math.log(2))
"""Of the logarithm of a call's time, whose deviation equals its mean."""


@attrs.frozen
class Load:
    """What is sent.

    Attributes:
        site: Where it goes.
        hosts: Over how many entry hosts it comes.
        share: The load, against the capacity of all slots.
        calls: About how many calls.
        seed: Of all random draws.
        noisy: Whether one standard customer sends in bursts.
        slow: Whether servers turn slow suddenly.
        zone_out: Whether a zone is taken out and back.
    """

    site: Site
    hosts: int
    share: float
    calls: int
    seed: int
    noisy: bool = False
    slow: bool = False
    zone_out: bool = False

    @property
    def rate(self) -> float:
        """Calls in each second."""
        return self.share * self.site.servers * SLOTS / self.site.mean

    @property
    def length(self) -> float:
        """How long calls are sent, in seconds."""
        return self.calls / self.rate


CUSTOMERS = (
    ('promised-1', PlanClass.PROMISED, 0.2),
    ('promised-2', PlanClass.PROMISED, 0.2),
    ('standard-1', PlanClass.STANDARD, 0.3),
    ('noisy', PlanClass.STANDARD, 0.1),
    ('spare-1', PlanClass.SPARE, 0.2),
)
"""Name, class and share of the calls."""

BURST_SHARE = 0.2
"""The noisy customer sends in this share of each second alone."""


def draw_arrivals(load: Load) -> list[Arrival]:
    """Draw the calls of a run; each policy gets the same."""
    random = Random(f'{load.seed} arrivals')
    arrivals = []
    for name, plan_class, part in CUSTOMERS:
        now = float(0)
        while now < load.length:
            now += random.expovariate(load.rate * part)
            at = _burst(now) if load.noisy and name == 'noisy' else now
            arrivals.append(
                Arrival(
                    at,
                    random.randrange(load.hosts),
                    CustomerId(name),
                    plan_class,
                    _draw_work(load.site.mean, random),
                )
            )
    return sorted(arrivals, key=lambda one: one.at)


def _burst(now: float) -> float:
    second = math.floor(now)
    return second + (now - second) * BURST_SHARE


def _draw_work(mean: float, random: Random) -> float:
    return random.lognormvariate(math.log(mean) - SPREAD**2 / 2, SPREAD)


SLOW_EVERY = 1.0
SLOW_FOR = 1.0
SLOWNESS = 8.0


def plan_slowness(load: Load, servers: list[Server], loop: Loop) -> None:
    """Turn one server after another slow, at random times."""
    random = Random(f'{load.seed} slow')
    for start in range(math.ceil(load.length / SLOW_EVERY)):
        server = random.choice(servers)
        at = (start + random.random()) * SLOW_EVERY
        loop.call_after(at, partial(_slow, server, SLOWNESS))
        loop.call_after(at + SLOW_FOR, partial(_slow, server, 1))


def _slow(server: Server, slowness: float) -> None:
    server.slowness = slowness
