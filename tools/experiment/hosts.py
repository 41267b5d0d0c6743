"""Entry hosts that decide with the product's own functions."""

from functools import partial
from random import Random
from types import MappingProxyType

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
from ebonystream.placement import (
    Candidate,
    ProbeResult,
    ProcessingTimes,
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
from experiment.loads import DEMANDS
from experiment.policies import Policy
from experiment.servers import draw_work
from experiment.world import World, get_zone

ONE_WAY_NEAR = Seconds(0.0002)
ONE_WAY_FAR = Seconds(0.0009)
TERMS = RetryLimits(ratio=0.2, base_retries=62, window=Seconds(10))
WORK = MappingProxyType({demand.route.name: demand.work for demand in DEMANDS})


@attrs.frozen(kw_only=True)
class Host:
    """One entry host.

    Attributes:
        world: The run that it is part of.
        number: Its number.
        timers: Tells the time.
        roster: The servers that it knows.
        lines: The requests that wait here.
        work_times: The usual work of each route.
        sees_all: Whether it sees servers at once.
    """

    world: World
    number: int
    timers: Timers
    lines: WaitQueues
    roster: Roster = attrs.field(factory=Roster)
    work_times: ProcessingTimes = attrs.field(factory=ProcessingTimes)
    sees_all: bool = False

    def list_servers(
        self, service: ServiceName, draw: float
    ) -> list[KnownServer]:
        """List the servers that may get work."""
        return self.world.list_open(self.roster.list_servers(service))

    async def ask(self, server: KnownServer) -> ProbeResult:
        """Ask a server for its load."""
        at = self.timers.now()
        way = self._count_way(server, 'question')
        await trio.sleep(way)
        report = self._read(server)
        await trio.sleep(way)
        return ProbeResult(server, report, at)

    async def send(
        self, request: Request, offer: Candidate, until: Monotonic
    ) -> Attempt:
        """Send a request to a server, and wait for its answer."""
        known = offer.probe_result.server
        began = self.timers.now()
        known.in_flight += 1
        known.last_request_at = began
        way = self._count_way(known, 'send')
        model = self.world.servers[known.entry.id]
        work = draw_work(WORK[_name_route(request)], self.world.generator)
        try:
            await trio.sleep(way)
            ran = await model.run(work)
            await trio.sleep(way)
        finally:
            known.in_flight -= 1
        answer = ServerResponse(
            verdict=ResponseVerdict.SERVED if ran else ResponseVerdict.NOT_RUN,
            status=200 if ran else 503,
            headers=(),
            body=b'',
            load=model.report(),
        )
        took = Seconds(self.timers.now() - began)
        return Attempt(
            candidate=offer, response=answer, failure=None, duration=took
        )

    def observe(self, request: Request, route: Route, attempt: Attempt) -> None:
        """Learn from an attempt; offer the server to who waits."""
        if not attempt.is_served():
            return
        if attempt.candidate.has_free_slot:
            slowdown = attempt.candidate.slowdown
            self.work_times.record(route, attempt.duration, slowdown)
        server = attempt.candidate.probe_result.server
        now = self.timers.now()
        self.lines.offer_server(ProbeResult(server, self._read(server), now))

    def _read(self, server: KnownServer) -> HealthReport:
        model = self.world.servers[server.entry.id]
        return HealthReport(
            healthy=True,
            server_id=server.entry.id,
            cold_left=None,
            load=model.report(),
        )

    def _count_way(self, server: KnownServer, what: str) -> Seconds:
        """Count a message; give how long it is on its way."""
        near = server.entry.zone == get_zone(self.number)
        self.world.counts[what] += 1
        self.world.counts[f'far {what}'] += not near
        if self.sees_all:
            return Seconds(0)
        return ONE_WAY_NEAR if near else ONE_WAY_FAR


def make_host_serve(
    host: Host, policy: Policy, *, nursery: trio.Nursery, seed: int
) -> HandleRequest:
    """Wire a host with the product's placing and dispatch.

    Args:
        host: The host.
        policy: How it finds a server.
        nursery: Where its questions run.
        seed: Of its random draws.
    """
    entries = [model.entry for model in host.world.servers.values()]
    host.roster.apply_listing(entries, host.timers.now())
    random = Random(seed)
    finder = SearchContext(
        list_servers=host.list_servers,
        probe=host.ask,
        processing_times=host.work_times,
        queues=host.lines,
        zone=get_zone(host.number),
        timers=host.timers,
        random=random,
        background=nursery,
    )
    dispatcher = Dispatcher(
        find_server=policy.make_find_room(finder),
        send_attempt=host.send,
        retry_budget=RetryBudget(TERMS, lambda: host.world.load.hosts),
        attempt_observers=(host.observe,),
        observe_no_capacity=partial(_count, host.world, 'no room'),
        observe_response=lambda request, route, response: None,
        estimator=policy.make_patience(),
        timers=host.timers,
    )
    configuration = RouteConfiguration(
        version=ConfigurationVersion(1),
        routes=index_routes([demand.route for demand in DEMANDS]),
        services={},
        limits=RequestLimits(
            head_bytes=0, body_bytes=0, receive=Seconds(1), idle=Seconds(1)
        ),
    )
    return make_handle_request(
        dispatcher, get_configuration=lambda: configuration, random=random
    )


def _count(world: World, name: str, *ignored: object) -> None:
    world.counts[name] += 1


def _name_route(request: Request) -> RouteName:
    return RouteName(request.path.strip('/'))
