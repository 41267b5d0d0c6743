"""The rules of one backend server, apart from its process and its ports."""

import enum
import random
from contextlib import ExitStack

import attrs
import msgspec
import trio

MS_PER_SECOND = 1000


class ServerState(enum.Enum):
    """Whether a backend server takes calls."""

    SERVING = 'serving'
    COLD = 'cold'
    DRAINING = 'draining'


class ServerSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """How one backend server is built.

    Attributes:
        name: Names the server.
        port: The port that it listens on.
        slots: How many calls run at once.
        queue_limit: How many may wait for a slot; more are refused.
        mean_ms: The mean service time of each route.
        default_mean_ms: The mean service time of any other route.
        connection_cost_ms: Slot time that a new connection takes.
        probe_cost_ms: Slot time that a health probe takes.
        cold: Whether it begins in cold start.
        cold_limit: How many calls it bears at once in cold start.
        warm_after: How many answered calls end the cold start.
        cold_crashes: Whether it crashes, not refuses, beyond the cold limit.
        restart_ms: How long it accepts nothing after a crash.
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
    """What is wrong with a backend server now.

    Attributes:
        slow_factor: Multiplies each service time.
        error_rate: The share of calls that run and fail.
        route: Limits the two above to one route; empty means all.
        above_in_flight: Limits the two above to when more calls are in hand.
        crash_body: A request whose body holds this text crashes the server.
        health_says: The state that health probes are told in place of the
            true one.
    """

    slow_factor: float = 1
    error_rate: float = 0
    route: str = ''
    above_in_flight: int = 0
    crash_body: str = ''
    health_says: ServerState | None = None


class Crashed(Exception):
    """Raised where a call crashes its server."""


class Refused(Exception):
    """Raised for a call that is refused before any work."""


class Counts(msgspec.Struct):
    """How often the calls ran.

    Attributes:
        runs: How often each idempotency key ran.
        doubled: How many keys ran more than once.
    """

    runs: dict[str, int]
    doubled: int


@attrs.define
class Ledger:
    """Counts the runs of each idempotency key over a set of servers.

    Attributes:
        runs: How often each key ran.
    """

    runs: dict[str, int] = attrs.field(factory=dict)

    def count(self, key: str) -> None:
        """Count one run.

        Args:
            key: The idempotency key; an empty one is not counted.
        """
        if key:
            self.runs[key] = self.runs.get(key, 0) + 1

    def add(self, counts: Counts) -> None:
        """Add what another ledger counted.

        Args:
            counts: What it reports.
        """
        for key, runs in counts.runs.items():
            self.runs[key] = self.runs.get(key, 0) + runs

    def report(self) -> Counts:
        """Tell what was counted."""
        doubled = sum(runs > 1 for runs in self.runs.values())
        return Counts(self.runs, doubled)


@attrs.frozen(kw_only=True)
class Work:
    """One call as the server sees it.

    Attributes:
        route: The route that was called.
        key: The idempotency key; empty without one.
        body: The whole body.
        deadline: When the caller stops waiting, on trio's clock.
    """

    route: str
    key: str
    body: bytes
    deadline: float


@attrs.define
class BackendServer:
    """One backend server.

    Attributes:
        settings: How it is built.
        ledger: Counts its runs.
        draws: Draws its service times and failures.
        slots: Limits how many calls run at once.
        state: Whether it takes calls.
        faults: What is wrong with it now.
        boots: How often it started.
        in_flight: How many calls it has in hand.
        answered: How many calls it answered since it started.
        down_until: When it accepts connections again after a crash.
    """

    settings: ServerSettings
    ledger: Ledger
    draws: random.Random
    slots: trio.CapacityLimiter
    state: ServerState
    faults: Faults = attrs.field(factory=Faults)
    boots: int = 1
    in_flight: int = 0
    answered: int = 0
    down_until: float = float('-inf')

    @property
    def down(self) -> bool:
        """Whether it is between a crash and its restart."""
        return trio.current_time() < self.down_until

    async def run(self, work: Work) -> bool:
        """Run one call and tell whether it went well.

        Args:
            work: The call.

        Raises:
            Refused: The call was refused before any work.
            Crashed: The call crashed the server.
        """
        self._check_admission()
        self.in_flight += 1
        with ExitStack() as leaving:
            leaving.callback(self._leave)
            return await self._run_in_slot(work)

    async def probe(self) -> None:
        """Use up the slot time of a health probe."""
        await self._take_slot(self.settings.probe_cost_ms)

    async def connect(self) -> None:
        """Use up the slot time of a new connection.

        A full queue lets it in at once, so that its call is refused at once.
        """
        if not self._is_full():
            await self._take_slot(self.settings.connection_cost_ms)

    def restart(self, *, pause_ms: float = 0) -> None:
        """Start again, cold.

        Args:
            pause_ms: How long nothing is accepted.
        """
        self.boots += 1
        self.answered = 0
        self.state = ServerState.COLD
        self.down_until = trio.current_time() + pause_ms / MS_PER_SECOND

    def crash(self) -> None:
        """Crash, and come back cold after the restart time."""
        self.restart(pause_ms=self.settings.restart_ms)

    def _leave(self) -> None:
        self.in_flight -= 1

    def _check_admission(self) -> None:
        if self.state is ServerState.DRAINING:
            raise Refused
        if self.state is ServerState.COLD:
            self._check_cold()
        if self._is_full():
            raise Refused

    def _is_full(self) -> bool:
        waiting = self.slots.statistics().tasks_waiting
        return waiting >= self.settings.queue_limit

    async def _take_slot(self, cost_ms: float) -> None:
        if cost_ms > 0:
            async with self.slots:
                await trio.sleep(cost_ms / MS_PER_SECOND)

    def _check_cold(self) -> None:
        if self.in_flight < self.settings.cold_limit:
            return
        if self.settings.cold_crashes:
            raise Crashed
        raise Refused

    async def _run_in_slot(self, work: Work) -> bool:
        async with self.slots:
            if trio.current_time() >= work.deadline:
                raise Refused
            self.ledger.count(work.key)
            self._check_body(work.body)
            faulty = self._is_faulty(work.route)
            await trio.sleep(self._draw_seconds(work.route, slow=faulty))
            self._count_answer()
            failed = self.draws.random() < self.faults.error_rate
            return not (faulty and failed)

    def _check_body(self, body: bytes) -> None:
        text = self.faults.crash_body.encode()
        if text and text in body:
            raise Crashed

    def _is_faulty(self, route: str) -> bool:
        matches = self.faults.route in {'', route}
        return matches and self.in_flight > self.faults.above_in_flight

    def _draw_seconds(self, route: str, *, slow: bool) -> float:
        mean = self.settings.mean_ms.get(route, self.settings.default_mean_ms)
        factor = self.faults.slow_factor if slow else 1
        return self.draws.expovariate(1) * mean * factor / MS_PER_SECOND

    def _count_answer(self) -> None:
        self.answered += 1
        warm = self.answered >= self.settings.warm_after
        if warm and self.state is ServerState.COLD:
            self.state = ServerState.SERVING


def make_server(
    settings: ServerSettings,
    ledger: Ledger,
    seed: int,
) -> BackendServer:
    """Make a backend server that has just started.

    Args:
        settings: How it is built.
        ledger: Counts its runs.
        seed: Seeds its draws, together with its name.
    """
    return BackendServer(
        settings,
        ledger,
        draws=random.Random(f'{seed}:{settings.name}'),
        slots=trio.CapacityLimiter(settings.slots),
        state=ServerState.COLD if settings.cold else ServerState.SERVING,
    )
