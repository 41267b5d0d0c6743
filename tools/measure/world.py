"""The servers, the network and the calls that a policy meets."""

import math
from collections import deque
from collections.abc import Callable

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
    ServerLifecycle,
    ServerPhase,
)
from ebonystream.call import Call, CallKind
from ebonystream.configuration import PlanClass
from measure.loop import Loop

ZONES = (ZoneName('a'), ZoneName('b'), ZoneName('c'))
SLOTS = 2
HOP_IN_ZONE = 0.0001
HOP_BEYOND = 0.0005
CONNECT_COST = 0.001

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
        lifecycle=ServerLifecycle(phase=ServerPhase.SERVING),
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
