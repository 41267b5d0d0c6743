"""Behaviour of a backend server, without its process, ports and HTTP."""

import enum
import random
from contextlib import ExitStack

import attrs
import msgspec
import trio

MS_PER_SECOND = 1000


class ServerState(enum.Enum):
    """Whether a backend server accepts calls."""

    SERVING = 'serving'
    COLD = 'cold'
    DRAINING = 'draining'


class ServerSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of a backend server.

    Attributes:
        name: The server name.
        port: The port to listen on.
        slots: Number of calls that run at once.
        queue_limit: Number of calls that may wait for a slot; more are
            refused.
        mean_ms: Mean service time by route.
        default_mean_ms: Mean service time of any other route.
        connection_cost_ms: Slot time used by a new connection.
        probe_cost_ms: Slot time used by a health probe.
        cold: Whether the server starts cold.
        cold_limit: Number of concurrent calls that a cold server can run.
        warm_after: Number of answered calls that end the cold start.
        cold_crashes: Whether a call beyond the cold limit crashes the server
            instead of being refused.
        restart_ms: How long no connection is accepted after a crash.
    """

    name: str
    port: int
    slots: int = 2
    queue_limit: int = 50
    mean_ms: dict[str, float] = msgspec.field(default_factory=dict)
    default_mean_ms: float = 4
    connection_cost_ms: float = 1
    probe_cost_ms: float = 6
    cold: bool = False
    cold_limit: int = 1
    warm_after: int = 20
    cold_crashes: bool = False
    restart_ms: float = 500


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults that are active on a backend server.

    Attributes:
        slow_factor: Factor applied to service times.
        error_rate: Share of calls that run and fail, from 0 to 1.
        route: The only route that is slow or fails; empty for all routes.
        above_in_flight: Calls are slow or fail only while more calls than
            this are in flight.
        crash_body: A request whose body contains this text crashes the
            server; empty for none.
        health_says: State reported to health probes instead of the true
            state.
    """

    slow_factor: float = 1
    error_rate: float = 0
    route: str = ''
    above_in_flight: int = 0
    crash_body: str = ''
    health_says: ServerState | None = None


class Crashed(Exception):
    """Raised when a call crashes its server."""


class Refused(Exception):
    """Raised for a call that is refused before it runs."""


class RunCounts(msgspec.Struct):
    """How often calls ran.

    Attributes:
        runs: Number of runs by idempotency key.
        doubled: Number of keys that ran more than once.
    """

    runs: dict[str, int]
    doubled: int


@attrs.define
class RunCounter:
    """Counts the runs of each idempotency key on a set of servers.

    Attributes:
        runs: Number of runs by idempotency key.
    """

    runs: dict[str, int] = attrs.field(factory=dict)

    def count(self, key: str) -> None:
        """Count a run.

        Args:
            key: The idempotency key; an empty one is not counted.
        """
        if key:
            self.runs[key] = self.runs.get(key, 0) + 1

    def merge(self, counts: RunCounts) -> None:
        """Add the counts of another counter.

        Args:
            counts: The report of the other counter.
        """
        for key, runs in counts.runs.items():
            self.runs[key] = self.runs.get(key, 0) + runs

    def report(self) -> RunCounts:
        """Return the counts."""
        doubled = sum(runs > 1 for runs in self.runs.values())
        return RunCounts(self.runs, doubled)


@attrs.frozen(kw_only=True)
class ServerCall:
    """A call that a backend server received.

    Attributes:
        route: The route of the call.
        key: The idempotency key; empty if the call has none.
        body: The complete body.
        deadline: When the caller stops waiting, on trio's clock.
    """

    route: str
    key: str
    body: bytes
    deadline: float


@attrs.define
class BackendServer:
    """A backend server.

    Attributes:
        settings: The settings of the server.
        run_counter: Counts its runs.
        random_source: Source of its service times and failures.
        slot_limiter: Limits how many calls run at once.
        state: Whether the server accepts calls.
        faults: The active faults.
        starts: How often the server started.
        in_flight: Number of calls in flight.
        answered: Number of calls answered since the last start.
        down_until: End of the restart after a crash, on trio's clock.
    """

    settings: ServerSettings
    run_counter: RunCounter
    random_source: random.Random
    slot_limiter: trio.CapacityLimiter
    state: ServerState
    faults: Faults = attrs.field(factory=Faults)
    starts: int = 1
    in_flight: int = 0
    answered: int = 0
    down_until: float = float('-inf')

    @property
    def is_down(self) -> bool:
        """Whether the server has crashed and has not restarted yet."""
        return trio.current_time() < self.down_until

    async def run(self, call: ServerCall) -> bool:
        """Run a call and return whether it succeeded.

        Args:
            call: The call.

        Raises:
            Refused: The call was refused before it ran.
            Crashed: The call crashed the server.
        """
        self._check_admission()
        self.in_flight += 1
        with ExitStack() as cleanup:
            cleanup.callback(self._end_call)
            return await self._run_in_slot(call)

    async def probe(self) -> None:
        """Spend the slot time of a health probe."""
        await self._occupy_slot(self.settings.probe_cost_ms)

    async def connect(self) -> None:
        """Spend the slot time of a new connection.

        With a full queue the connection is accepted without delay, so that
        its call is refused without delay.
        """
        if not self._is_full():
            await self._occupy_slot(self.settings.connection_cost_ms)

    def restart(self, *, downtime_ms: float = 0) -> None:
        """Restart in the cold state.

        Args:
            downtime_ms: How long no connection is accepted.
        """
        self.starts += 1
        self.answered = 0
        self.state = ServerState.COLD
        self.down_until = trio.current_time() + downtime_ms / MS_PER_SECOND

    def crash(self) -> None:
        """Crash and restart cold after the restart time of the settings."""
        self.restart(downtime_ms=self.settings.restart_ms)

    def _end_call(self) -> None:
        self.in_flight -= 1

    def _check_admission(self) -> None:
        if self.state is ServerState.DRAINING:
            raise Refused
        if self.state is ServerState.COLD:
            self._check_cold_limit()
        if self._is_full():
            raise Refused

    def _is_full(self) -> bool:
        waiting = self.slot_limiter.statistics().tasks_waiting
        return waiting >= self.settings.queue_limit

    async def _occupy_slot(self, cost_ms: float) -> None:
        if cost_ms > 0:
            async with self.slot_limiter:
                await trio.sleep(cost_ms / MS_PER_SECOND)

    def _check_cold_limit(self) -> None:
        if self.in_flight < self.settings.cold_limit:
            return
        if self.settings.cold_crashes:
            raise Crashed
        raise Refused

    async def _run_in_slot(self, call: ServerCall) -> bool:
        async with self.slot_limiter:
            if trio.current_time() >= call.deadline:
                raise Refused
            self.run_counter.count(call.key)
            self._check_crash_body(call.body)
            faulty = self._is_faulty(call.route)
            await trio.sleep(
                self._draw_service_seconds(call.route, slow=faulty)
            )
            self._count_response()
            failed = self.random_source.random() < self.faults.error_rate
            return not (faulty and failed)

    def _check_crash_body(self, body: bytes) -> None:
        text = self.faults.crash_body.encode()
        if text and text in body:
            raise Crashed

    def _is_faulty(self, route: str) -> bool:
        matches = self.faults.route in {'', route}
        return matches and self.in_flight > self.faults.above_in_flight

    def _draw_service_seconds(self, route: str, *, slow: bool) -> float:
        mean = self.settings.mean_ms.get(route, self.settings.default_mean_ms)
        factor = self.faults.slow_factor if slow else 1
        return self.random_source.expovariate(1) * mean * factor / MS_PER_SECOND

    def _count_response(self) -> None:
        self.answered += 1
        warm = self.answered >= self.settings.warm_after
        if warm and self.state is ServerState.COLD:
            self.state = ServerState.SERVING


def make_server(
    settings: ServerSettings,
    run_counter: RunCounter,
    seed: int,
) -> BackendServer:
    """Create a backend server that has just started.

    Args:
        settings: The settings of the server.
        run_counter: Counts its runs.
        seed: Seed of its random numbers, combined with its name.
    """
    return BackendServer(
        settings,
        run_counter,
        random_source=random.Random(f'{seed}:{settings.name}'),
        slot_limiter=trio.CapacityLimiter(settings.slots),
        state=ServerState.COLD if settings.cold else ServerState.SERVING,
    )
