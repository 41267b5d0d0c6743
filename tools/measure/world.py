"""The servers, the network and the calls that a policy meets."""

import math
from collections import deque
from collections.abc import Callable
from functools import partial
from random import Random

import attrs

from ebonystream._ids import (
    CustomerId,
    HostId,
    Monotonic,
    RouteName,
    ServerId,
    ServiceName,
    VersionName,
    ZoneName,
)
from ebonystream.backend import (
    BackendServer,
    ServerAddress,
    ServerPhase,
    Warmth,
)
from ebonystream.call import Call, CallKind
from ebonystream.configuration import PlanClass
from measure.loop import Loop

ZONES = (ZoneName('a'), ZoneName('b'), ZoneName('c'))
SLOTS = 2
HOP_IN_ZONE = 0.0001
HOP_BEYOND = 0.0005
CONNECT_COST = 0.001
SPREAD = math.sqrt(math.log(2))
"""Of the logarithm of a call's time, whose deviation equals its mean."""

DEADLINE = 1.0


@attrs.frozen
class Site:
    """One service of today's sizes.

    Attributes:
        name: How the tables call it.
        servers: How many backend servers it has.
        client_hop: One way between client and entry host, in seconds.
        mean: The mean time of a call at a server, in seconds.
    """

    name: str
    servers: int
    client_hop: float
    mean: float


SITES = (
    Site('switzerland-30', 30, 0.001, 0.02),
    Site('switzerland-6', 6, 0.001, 0.02),
    Site('scotland-20', 20, 0.008, 0.01),
    Site('scotland-6', 6, 0.008, 0.01),
)


@attrs.frozen
class Arrival:
    """One call of a customer.

    Attributes:
        at: When its client sends it, in seconds.
        host: Which entry host it comes to, by number.
        customer: Whose it is.
        plan_class: What that customer was promised.
        work: Its time at a server of usual speed, in seconds.
    """

    at: float
    host: int
    customer: CustomerId
    plan_class: PlanClass
    work: float


@attrs.define(eq=False)
class Job:
    """One attempt of a call at a server.

    Attributes:
        arrival: The call.
        deadline: When it is of no more use, in seconds.
        done: Told, at the server, whether its answer is whole.
        work: Its time at a server of usual speed, in seconds.
        until: When its slot is free again, once it has begun.
        ended: Whether the server is done with it.
    """

    arrival: Arrival
    deadline: float
    done: Callable[[bool], None]
    work: float
    until: float = math.nan
    ended: bool = False


@attrs.define(eq=False)
class Server:
    """A backend server with 2 slots and a queue of its own.

    Attributes:
        view: How the product sees it; each host has a copy of its own.
        loop: Tells the time.
        slowness: How many times slower than usual it is.
        busy: How many calls it works on.
        on_way: Calls that were sent there and have not ended.
        most_on_way: The most calls on their way at one time.
        queue: Calls that wait there.
        busy_seconds: Time that its slots worked.
    """

    id: ServerId
    zone: ZoneName
    loop: Loop
    slowness: float = 1
    busy: int = 0
    on_way: int = 0
    most_on_way: int = 0
    queue: deque[Job] = attrs.field(factory=deque)
    busy_seconds: float = 0

    def take(self, job: Job) -> None:
        """Take a call that has just come."""
        self.queue.append(job)
        self._start_next()

    def drop(self, job: Job) -> None:
        """Stop a call whose host has closed its connection."""
        if job.ended:
            return
        job.ended = True
        self.on_way -= 1
        if job in self.queue:
            self.queue.remove(job)
            return
        self.busy -= 1
        self.busy_seconds -= job.until - self.loop.now
        self._start_next()

    def _start_next(self) -> None:
        while self.queue and self.busy < SLOTS:
            job = self.queue.popleft()
            left = job.deadline - self.loop.now
            if left <= 0:
                job.ended = True
                job.done(False)
                continue
            self._start(job, left)

    def _start(self, job: Job, left: float) -> None:
        self.busy += 1
        needed = job.work * self.slowness
        spent = min(needed, left)
        self.busy_seconds += spent
        job.until = self.loop.now + spent
        self.loop.call_after(spent, lambda: self._end(job, needed <= left))

    def _end(self, job: Job, whole: bool) -> None:
        if job.ended:
            return
        job.ended = True
        self.busy -= 1
        job.done(whole)
        self._start_next()


def make_servers(site: Site, loop: Loop) -> list[Server]:
    """Make the servers of a site, in turn over the zones."""
    return [
        Server(ServerId(f's{number}'), ZONES[number % 3], loop)
        for number in range(site.servers)
    ]


def make_view(server: Server) -> BackendServer:
    """Make one host's view of a server."""
    return BackendServer(
        id=server.id,
        at=ServerAddress('127.0.0.1', 1),
        service=ServiceName('service'),
        version=VersionName('v1'),
        zone=server.zone,
        warmth=Warmth(phase=ServerPhase.SERVING),
    )


def make_call(arrival: Arrival, deadline: float) -> Call:
    """Make the product's call of an arrival."""
    return Call(
        customer=arrival.customer,
        route=RouteName('route'),
        service=ServiceName('service'),
        kind=CallKind.IDEMPOTENT,
        method='GET',
        target='/',
        headers=(),
        body=b'',
        deadline=Monotonic(deadline),
    )


def hop(one: ZoneName, other: ZoneName) -> float:
    """Give the time of one way between two zones, in seconds."""
    return HOP_IN_ZONE if one == other else HOP_BEYOND


def name_host(number: int) -> HostId:
    """Give the name of an entry host."""
    return HostId(f'h{number}')


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
