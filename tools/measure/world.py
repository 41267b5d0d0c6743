"""The simulated servers, network delays and calls."""

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
SAME_ZONE_DELAY_SECONDS = 0.0001
CROSS_ZONE_DELAY_SECONDS = 0.0005
CONNECT_SECONDS = 0.001
"""Time that a server spends to open a connection."""

DEADLINE_SECONDS = 1.0


@attrs.frozen
class Site:
    """A service with the size of one of today's sites.

    Attributes:
        name: Name in the tables.
        server_count: Number of backend servers.
        client_delay: One-way delay between a client and an entry host, in
            seconds.
        mean_processing_time: Mean processing time of a call, in seconds.
    """

    name: str
    server_count: int
    client_delay: float
    mean_processing_time: float


SITES = (
    Site('switzerland-30', 30, 0.001, 0.02),
    Site('switzerland-6', 6, 0.001, 0.02),
    Site('scotland-20', 20, 0.008, 0.01),
    Site('scotland-6', 6, 0.008, 0.01),
)


@attrs.frozen
class Arrival:
    """A call of a customer.

    Attributes:
        sent_at: When the client sends it, in seconds.
        host_number: Number of the entry host that receives it.
        customer: The customer.
        plan_class: Class of the customer's plan.
        processing_time: Processing time at a server of usual speed, in
            seconds.
    """

    sent_at: float
    host_number: int
    customer: CustomerId
    plan_class: PlanClass
    processing_time: float


@attrs.define(eq=False)
class Job:
    """An attempt of a call at a server.

    Attributes:
        arrival: The call.
        deadline: When the call expires, in seconds.
        on_end: Called at the server with whether the response is complete.
        processing_time: Processing time at a server of usual speed, in
            seconds.
        slot_free_at: When its slot becomes free, in seconds; NaN until
            processing has started.
        has_ended: Whether the attempt was completed, cut off at its deadline
            or cancelled.
    """

    arrival: Arrival
    deadline: float
    on_end: Callable[[bool], None]
    processing_time: float
    slot_free_at: float = math.nan
    has_ended: bool = False


@attrs.define(eq=False)
class Server:
    """A backend server with 2 slots and a queue of its own.

    Attributes:
        id: Id of the server.
        zone: Its availability zone.
        loop: The event loop.
        slowdown: Current factor on processing times.
        running: Number of calls being processed.
        in_flight: Number of calls sent to the server that have not ended.
        max_in_flight: Maximum number of calls in flight at one time.
        queue: Calls that wait for a slot.
        busy_seconds: Total time that its slots were busy.
    """

    id: ServerId
    zone: ZoneName
    loop: Loop
    slowdown: float = 1
    running: int = 0
    in_flight: int = 0
    max_in_flight: int = 0
    queue: deque[Job] = attrs.field(factory=deque)
    busy_seconds: float = 0

    def enqueue(self, job: Job) -> None:
        """Add a received call to the queue."""
        self.queue.append(job)
        self._start_next()

    def cancel(self, job: Job) -> None:
        """Cancel a call whose host has closed its connection."""
        if job.has_ended:
            return
        job.has_ended = True
        self.in_flight -= 1
        if job in self.queue:
            self.queue.remove(job)
            return
        self.running -= 1
        self.busy_seconds -= job.slot_free_at - self.loop.now
        self._start_next()

    def _start_next(self) -> None:
        while self.queue and self.running < SLOTS:
            job = self.queue.popleft()
            time_left = job.deadline - self.loop.now
            if time_left <= 0:
                job.has_ended = True
                job.on_end(False)
                continue
            self._start(job, time_left)

    def _start(self, job: Job, time_left: float) -> None:
        self.running += 1
        needed_time = job.processing_time * self.slowdown
        busy_time = min(needed_time, time_left)
        self.busy_seconds += busy_time
        job.slot_free_at = self.loop.now + busy_time
        self.loop.call_after(
            busy_time, lambda: self._end(job, needed_time <= time_left)
        )

    def _end(self, job: Job, is_complete: bool) -> None:
        if job.has_ended:
            return
        job.has_ended = True
        self.running -= 1
        job.on_end(is_complete)
        self._start_next()


def make_servers(site: Site, loop: Loop) -> list[Server]:
    """Create the servers of a site, spread evenly over the zones."""
    return [
        Server(ServerId(f's{number}'), ZONES[number % 3], loop)
        for number in range(site.server_count)
    ]


def make_backend_server(server: Server) -> BackendServer:
    """Return one host's directory entry of a server."""
    return BackendServer(
        id=server.id,
        at=ServerAddress('127.0.0.1', 1),
        service=ServiceName('service'),
        version=VersionName('v1'),
        zone=server.zone,
        lifecycle=ServerLifecycle(phase=ServerPhase.SERVING),
    )


def make_call(arrival: Arrival, deadline: float) -> Call:
    """Return the product's representation of a call."""
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


def get_one_way_delay(source: ZoneName, target: ZoneName) -> float:
    """Return the one-way delay between two zones, in seconds."""
    return (
        SAME_ZONE_DELAY_SECONDS
        if source == target
        else CROSS_ZONE_DELAY_SECONDS
    )


def make_host_id(number: int) -> HostId:
    """Return the id of an entry host."""
    return HostId(f'h{number}')
