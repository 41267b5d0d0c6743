"""Simulated entry hosts that use the product's placement and dispatch."""

from functools import partial
from random import Random

import attrs
import trio

from ebonystream._ids import (
    ConfigurationVersion,
    Monotonic,
    RouteName,
    Seconds,
    ServiceName,
)
from ebonystream._timers import Timers
from ebonystream.dispatch import (
    Attempt,
    Dispatcher,
    HandleRequest,
    RetryBudget,
    RetryLimits,
    make_handle_request,
)
from ebonystream.entryhost._observers import get_failure_weight
from ebonystream.placement import (
    Candidate,
    ProbeBudget,
    ProbeResult,
    ProcessingTimes,
    Reservations,
    SearchContext,
    WaitQueues,
)
from ebonystream.request import Request, ResponseVerdict, ServerResponse
from ebonystream.roster import HealthReport, KnownServer, Roster
from ebonystream.route import (
    RequestLimits,
    Route,
    RouteConfiguration,
    index_routes,
)
from experiment.gossip import exchange_reports, list_peer_demands
from experiment.policies import Policy
from experiment.servers import draw_processing_time
from experiment.world import World, get_host_zone

SAME_ZONE_DELAY = Seconds(0.0002)
"""One-way network delay within an availability zone."""

CROSS_ZONE_DELAY = Seconds(0.0009)
"""One-way network delay between availability zones."""

RETRY_LIMITS = RetryLimits(ratio=0.2, base_retries=62, window=Seconds(10))


@attrs.frozen(kw_only=True)
class Host:
    """A simulated entry host.

    Attributes:
        world: State of the simulation run.
        number: Number of the host, from 0.
        timers: Source of the current time.
        wait_queues: Requests that wait for capacity.
        roster: Backend servers known to the host.
        processing_times: Usual processing time of each route.
        has_global_view: Whether messages to servers arrive without delay.
        reservations: Free slots that are left to more urgent requests.
    """

    world: World
    number: int
    timers: Timers
    wait_queues: WaitQueues
    roster: Roster = attrs.field(factory=Roster)
    processing_times: ProcessingTimes = attrs.field(factory=ProcessingTimes)
    has_global_view: bool = False
    reservations: Reservations = attrs.field(init=False)

    @reservations.default
    def _make_reservations(self) -> Reservations:
        return Reservations(partial(list_peer_demands, self.world, self.number))

    def list_servers(
        self, service: ServiceName, version_draw: float
    ) -> list[KnownServer]:
        """List the servers that may receive requests."""
        return self.world.filter_available(self.roster.list_servers(service))

    async def probe(self, server: KnownServer) -> ProbeResult:
        """Probe a server for its load."""
        sent_at = self.timers.now()
        delay = self._count_message(server, 'question')
        await trio.sleep(delay)
        report = self._make_health_report(server)
        await trio.sleep(delay)
        return ProbeResult(server, report, sent_at)

    async def send_attempt(
        self, request: Request, candidate: Candidate, deadline: Monotonic
    ) -> Attempt:
        """Send a request to a server and wait for its response."""
        server = candidate.probe_result.server
        started_at = self.timers.now()
        server.in_flight += 1
        server.record_request(started_at)
        delay = self._count_message(server, 'send')
        model = self.world.servers[server.entry.id]
        processing_time = draw_processing_time(
            self.world.load.get_processing_time(_get_route_name(request)),
            self.world.generator,
        )
        try:
            await trio.sleep(delay)
            has_run = await model.run(processing_time)
            await trio.sleep(delay)
        finally:
            server.in_flight -= 1
        response = ServerResponse(
            verdict=ResponseVerdict.SERVED
            if has_run
            else ResponseVerdict.NOT_RUN,
            status=200 if has_run else 503,
            headers=(),
            body=b'',
            load=model.report_load(),
        )
        duration = Seconds(self.timers.now() - started_at)
        return Attempt(
            candidate=candidate,
            response=response,
            failure=None,
            duration=duration,
        )

    def record_attempt(
        self, request: Request, route: Route, attempt: Attempt
    ) -> None:
        """Record an attempt and offer its server to waiting requests."""
        server = attempt.candidate.probe_result.server
        now = self.timers.now()
        if not attempt.is_served():
            server.record_failure(now, get_failure_weight(attempt))
            return
        if attempt.candidate.has_free_slot:
            slowdown = attempt.candidate.slowdown
            self.processing_times.record(route, attempt.duration, slowdown)
        self.wait_queues.offer_server(
            ProbeResult(server, self._make_health_report(server), now)
        )

    def _make_health_report(self, server: KnownServer) -> HealthReport:
        model = self.world.servers[server.entry.id]
        return HealthReport(
            healthy=True,
            server_id=server.entry.id,
            cold_left=None,
            load=model.report_load(),
        )

    def _count_message(self, server: KnownServer, kind: str) -> Seconds:
        """Count a message and return its one-way delay, in seconds."""
        is_same_zone = server.entry.zone == get_host_zone(self.number)
        self.world.counts[kind] += 1
        self.world.counts[f'far {kind}'] += not is_same_zone
        if self.has_global_view:
            return Seconds(0)
        return SAME_ZONE_DELAY if is_same_zone else CROSS_ZONE_DELAY


def make_host_handler(
    host: Host, policy: Policy, *, nursery: trio.Nursery, seed: int
) -> HandleRequest:
    """Build a request handler from the product's placement and dispatch.

    Args:
        host: The simulated host.
        policy: The policy by which it finds a server.
        nursery: Nursery in which its probes run.
        seed: Seed of its random number generator.
    """
    entries = [model.entry for model in host.world.servers.values()]
    host.roster.apply_listing(entries, host.timers.now())
    random = Random(seed)
    nursery.start_soon(
        partial(
            exchange_reports,
            host.world,
            host.number,
            roster=host.roster,
            reservations=host.reservations,
            timers=host.timers,
        )
    )
    search_context = SearchContext(
        list_servers=host.list_servers,
        probe=host.probe,
        processing_times=host.processing_times,
        queues=host.wait_queues,
        zone=get_host_zone(host.number),
        timers=host.timers,
        random=random,
        background=nursery,
        budget=ProbeBudget(host.world.load.get_host_probe_rate),
        reservations=host.reservations
        if policy.reserves_slots
        else Reservations(max_share=0),
    )
    dispatcher = Dispatcher(
        find_server=policy.make_find_server(search_context),
        send_attempt=host.send_attempt,
        retry_budget=RetryBudget(
            RETRY_LIMITS, lambda: host.world.load.host_count
        ),
        attempt_observers=(host.record_attempt,),
        observe_no_capacity=partial(_increment_count, host.world, 'no room'),
        observe_response=lambda request, route, response: None,
        estimator=policy.make_estimator(),
        timers=host.timers,
    )
    configuration = RouteConfiguration(
        version=ConfigurationVersion(1),
        routes=index_routes(
            [demand.route for demand in host.world.load.demands]
        ),
        services={},
        limits=RequestLimits(
            head_bytes=0, body_bytes=0, receive=Seconds(1), idle=Seconds(1)
        ),
    )
    return make_handle_request(
        dispatcher, get_configuration=lambda: configuration, random=random
    )


def _increment_count(world: World, name: str, *ignored: object) -> None:
    world.counts[name] += 1


def _get_route_name(request: Request) -> RouteName:
    return RouteName(request.path.strip('/'))
