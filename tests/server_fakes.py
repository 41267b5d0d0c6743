"""Fakes of backend servers and of entry hosts that exchange heartbeats."""

from random import Random

import attrs
import msgspec
import trio

from ebonystream._ids import (
    BootId,
    CustomerId,
    Monotonic,
    RouteName,
    ServerId,
    ServiceName,
    VersionName,
    ZoneName,
)
from ebonystream._timers import Timers
from ebonystream.backend import (
    INTERRUPTED,
    Attempt,
    AttemptKind,
    BackendServer,
    Directory,
    LoadReport,
    ServerAddress,
    ServerState,
    WantedServers,
    make_dispatch,
)
from ebonystream.call import Call, CallKind, CallResponse
from ebonystream.composition._fleet import FleetView
from ebonystream.composition._server_contents import (
    apply_server_contents,
    make_server_contents,
)
from ebonystream.composition._servers import (
    ServerRules,
    make_server_rules,
)
from ebonystream.errors import EbonystreamError, ErrorKind, Outcome
from ebonystream.peer import Heartbeat, ServerLoad
from ebonystream.version import MovesView

SERVICE = ServiceName('passes')
SLOTS = 2
TIMERS = Timers(epoch_offset=0)
MAX_GOSSIP_DELAY = 0.35
"""Upper bound on the time from a change to its receipt by all hosts, in
seconds."""

CALL_PAUSE = 0.02
"""Mean time between the calls of one host, in seconds."""


def seed_schedule(seed):
    """Make trio schedule its tasks in the same order for the same seed."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)


def make_call(
    body=b'', *, kind=CallKind.IDEMPOTENT, timeout=5.0, now=0.0, route='check'
):
    return Call(
        customer=CustomerId('loop'),
        route=RouteName(route),
        service=SERVICE,
        kind=kind,
        method='POST',
        target='/passes',
        headers=(),
        body=body,
        deadline=Monotonic(now + timeout),
    )


async def send_at_random(random, send, host):
    """Send calls through one host at random times, without end."""
    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(random.expovariate(1 / CALL_PAUSE))
            nursery.start_soon(send, host)


def make_listed_server(name, *, leaving=False, version='v1', port=1, zone='a'):
    return BackendServer(
        id=ServerId(name),
        at=ServerAddress('127.0.0.1', port),
        service=SERVICE,
        version=VersionName(version),
        zone=ZoneName(zone),
        leaving=leaving,
    )


def make_attempt(
    state=ServerState.SERVING, boot='b0', *, refused=False, status=200
):
    report = LoadReport(
        state=state,
        boot=None if boot is None else BootId(boot),
        in_flight=None,
    )
    if refused:
        return Attempt(AttemptKind.REFUSED, report=report)
    response = CallResponse(
        outcome=Outcome.RAN, status=status, headers=(), body=b''
    )
    return Attempt(AttemptKind.ANSWERED, response=response, report=report)


@attrs.define
class FakeServer:
    """Backend server that records which calls reach it in which state.

    Attributes:
        name: Name of the server.
        random: Source of latencies and errors.
        boots: Number of restarts.
        reports_cold: Whether it reports that it is cold.
        state: Its actual state.
        answered: Answers since it turned cold.
        answers_to_warm: Answers after which it is warm.
        mean_latency: Mean latency of a warm server, in seconds.
        cold_factor: Latency of a cold server, relative to a warm one.
        crashed: Set when the current incarnation ends.
        in_flight: Start times of the calls in flight.
        reported_at: When the first attempt ended since the last change of
            state.
        max_cold_in_flight: Most concurrent calls while cold that started after
            all hosts could know of it.
        max_drain_delay: Longest time from the first answer while draining to a
            new call, in seconds.
        crash_bodies: Bodies of the requests that crash it.
        crashes: Number of crashes by such requests.
        error_rate: Share of answers with status 500.
        latency_factor: Latency relative to the usual one.
        call_starts: Start times of all calls.
    """

    name: str
    random: Random
    boots: int = 0
    reports_cold: bool = True
    state: ServerState = ServerState.COLD
    answered: int = 0
    answers_to_warm: int = 20
    mean_latency: float = 0.01
    cold_factor: float = 8
    crashed: trio.Event = attrs.field(factory=trio.Event)
    in_flight: list[float] = attrs.field(factory=list)
    reported_at: float | None = None
    max_cold_in_flight: int = 0
    max_drain_delay: float = 0
    crash_bodies: set[bytes] = attrs.field(factory=set)
    crashes: int = 0
    error_rate: float = 0.001
    latency_factor: float = 1
    call_starts: list[float] = attrs.field(factory=list)

    async def run(self, call):
        """Run one call to its end, or until the server restarts."""
        boot = f'{self.name}-{self.boots}'
        started = trio.current_time()
        self.call_starts.append(started)
        self.in_flight.append(started)
        self._record_load(started)
        crashed = self.crashed
        try:
            with trio.move_on_after(self._draw_latency(call)):
                if call.body in self.crash_bodies:
                    await trio.sleep(0.002)
                    self.restart()
                    self.crashes += 1
                await crashed.wait()
            if crashed.is_set():
                self._record_report()
                return INTERRUPTED
        finally:
            self.in_flight.remove(started)
        return self._answer(boot)

    def _record_load(self, now):
        if self.reported_at is None:
            return
        if self.state is ServerState.DRAINING:
            self.max_drain_delay = max(
                self.max_drain_delay, now - self.reported_at
            )
        if self.state is ServerState.COLD:
            known_at = self.reported_at + MAX_GOSSIP_DELAY
            concurrent = sum(started > known_at for started in self.in_flight)
            self.max_cold_in_flight = max(self.max_cold_in_flight, concurrent)

    def _record_report(self):
        if self.reported_at is None:
            self.reported_at = trio.current_time()

    def relapse(self):
        """Turn cold without a restart."""
        self.state = ServerState.COLD
        self.answered = 0
        self.reported_at = None

    def restart(self):
        """Close all connections and begin a new incarnation, which is cold."""
        self.boots += 1
        self.relapse()
        self.crashed.set()
        self.crashed = trio.Event()

    def drain(self):
        """Begin to drain."""
        self.state = ServerState.DRAINING
        self.reported_at = None

    def _draw_latency(self, call):
        factor = self.cold_factor if self.state is ServerState.COLD else 1
        return (
            self.latency_factor
            * factor
            * self.random.uniform(0.5, 1.5)
            * self.mean_latency
        )

    def _answer(self, boot):
        reported = self.state
        self._record_report()
        if reported is ServerState.COLD:
            self.answered += 1
            if self.answered >= self.answers_to_warm:
                self.state = ServerState.SERVING
            if not self.reports_cold:
                reported = ServerState.SERVING
        status = 500 if self.random.random() < self.error_rate else 200
        return make_attempt(reported, boot, status=status)


@attrs.define
class FakeHost:
    """Entry host with the production rules, on a shared set of servers."""

    name: str
    directory: Directory
    rules: ServerRules
    dispatch: object
    peer_loads: dict = attrs.field(factory=dict)


NO_MOVES = MovesView(
    list_moves=lambda: (),
    find_settled_version=lambda service: None,
    is_rolled_back=lambda service, version: False,
)


def make_random_place(directory, random, may_take):
    """Place each call at the less loaded of two servers, without waiting."""

    async def place(call, tried):
        candidates = [
            server
            for server in directory.list_servers(call.service)
            if server.id not in tried and may_take(call, server)
        ]
        if not candidates:
            raise EbonystreamError(ErrorKind.NO_BACKEND, call.service)
        pair = random.sample(candidates, min(2, len(candidates)))
        server = min(pair, key=lambda candidate: candidate.in_flight)
        server.in_flight += 1
        return server

    return place


def release_place(call, server, attempt, duration):
    """Release the place of an attempt that has ended."""
    server.in_flight -= 1


def make_host(name, fakes, random, *, is_sponsor, is_alone, moves=NO_MOVES):
    directory = Directory()
    peer_loads = {}
    fleet = FleetView(
        find_sponsor=lambda server: name if is_sponsor(server) else None,
        is_sponsor=is_sponsor,
        is_alone=is_alone,
        count_in_flight_elsewhere=lambda server: sum(
            loads.get(server, 0) for loads in peer_loads.values()
        ),
        notify_peers=lambda: None,
        wanted_servers=WantedServers(TIMERS),
    )
    rules = make_server_rules(
        directory=directory,
        fleet=fleet,
        moves_view=moves,
        slots_per_server=SLOTS,
        timers=TIMERS,
        random=random,
    )

    async def send(call, server):
        return await fakes[server.id].run(call)

    place = make_random_place(directory, random, rules.may_take)
    dispatch = make_dispatch(
        place=rules.make_crash_guard(place),
        send=send,
        observers=(release_place, *rules.observers),
        timers=TIMERS,
        begins=rules.begins,
    )
    return FakeHost(name, directory, rules, dispatch, peer_loads)


async def gossip(hosts, random, *, period=0.25, delay=0.05):
    """Exchange encoded heartbeats between all hosts, without end."""

    async def deliver(encoded, sender, receiver):
        await trio.sleep(random.uniform(0, delay))
        heartbeat = msgspec.msgpack.decode(encoded, type=Heartbeat)
        apply_server_contents(receiver.rules, heartbeat)
        receiver.peer_loads[sender.name] = {
            load.server: load.in_flight for load in heartbeat.loads
        }

    async with trio.open_nursery() as nursery:
        while True:
            for sender in hosts:
                contents = msgspec.structs.replace(
                    make_server_contents(sender.rules),
                    loads=tuple(
                        ServerLoad(server.id, server.in_flight)
                        for server in sender.directory.servers.values()
                    ),
                )
                heartbeat = Heartbeat(
                    host=sender.name,
                    incarnation=sender.name,
                    zone='a',
                    sequence=1,
                    **msgspec.structs.asdict(contents),
                )
                encoded = msgspec.msgpack.encode(heartbeat)
                for receiver in hosts:
                    if receiver is not sender:
                        nursery.start_soon(deliver, encoded, sender, receiver)
            await trio.sleep(period)
