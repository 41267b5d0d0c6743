"""Measures version moves: correct and wrong verdicts, and faulty calls.

A discrete-event simulation of the product's own decisions
(`ebonystream.version`) for two simulated versions of a service. The last line
of its output is JSON.
"""

import enum
import heapq
import itertools
import statistics
from collections.abc import Callable
from functools import partial
from random import Random
from types import MappingProxyType

import attrs
import msgspec
import typer

from ebonystream._ids import EpochMs, HostId, MoveId, RouteName, Seconds
from ebonystream.version import MoveProgress, Sample, Tally

HOSTS = 5
CALLS_PER_SECOND = 200.0
MOVE_DURATION_S = 60.0
MAX_OVERRUN_S = 5.0
"""Time after the end of a move at which a run without a verdict stops."""
HEARTBEAT_PERIOD_S = 0.25
HEARTBEAT_DELAY_S = 0.05
SERVER_COUNT = 10
SLOTS_PER_SERVER = 2
ROUTES = MappingProxyType(
    {
        RouteName('find-rack'): (0.7, 0.03),
        RouteName('book'): (0.27, 0.05),
        RouteName('certificate'): (0.03, 0.1),
    }
)
"""Share of the calls and mean duration in seconds of each route."""
LOADED_SHARE = 0.2
"""Share of occupied slots above which a version counts as loaded."""


Action = Callable[[float], None]
"""Action of an event; gets the time of the event, in seconds."""


class FaultKind(enum.Enum):
    """Fault of the new version, if any; the member names seed the runs."""

    GOOD = 'good'
    UNLUCKY = 'good, 2 % of calls fail on both'
    FAILS = 'fails at once'
    SLOW = 'slow at once'
    LATE_FAILS = 'fails late'
    LATE_SLOW = 'slow late'
    LOAD_FAILS = 'fails under load'
    LOAD_SLOW = 'slow under load'
    ROUTE_FAILS = 'fails on one route'
    ROUTE_SLOW = 'slow on one route'


GOOD = frozenset((FaultKind.GOOD, FaultKind.UNLUCKY))
SLOW = frozenset(
    (
        FaultKind.SLOW,
        FaultKind.LATE_SLOW,
        FaultKind.LOAD_SLOW,
        FaultKind.ROUTE_SLOW,
    )
)
LATE = frozenset((FaultKind.LATE_FAILS, FaultKind.LATE_SLOW))
LOAD = frozenset((FaultKind.LOAD_FAILS, FaultKind.LOAD_SLOW))
ONE_ROUTE = frozenset((FaultKind.ROUTE_FAILS, FaultKind.ROUTE_SLOW))


@attrs.define
class Outcome:
    """Outcome of one move.

    Attributes:
        finished_s: Time at which the move finished, if it did.
        stopped_s: Time at which the move was taken back, if it was.
        first_faulty_s: Time of the first faulty call, if any.
        faulty: Number of calls that the fault affected.
        after_stop: Number of calls to the new version from hosts that had
            already stopped the move.
        new: Number of calls to the new version.
        calls: Number of all calls.
    """

    finished_s: float | None = None
    stopped_s: float | None = None
    first_faulty_s: float | None = None
    faulty: int = 0
    after_stop: int = 0
    new: int = 0
    calls: int = 0


@attrs.define
class MoveSimulation:
    """Simulation of one move on several entry hosts.

    Attributes:
        kind: Fault of the new version.
        random: Seeded source of random decisions.
        hosts: Progress of the move at each host.
        outcome: Outcome so far.
        events: Heap of future events: time, tie-breaker and action.
        in_flight: Number of calls in flight to the old and the new version.
        fault_start_s: Time from which on the new version is faulty.
        severity: Factor on the duration of a slow call, or failure rate.
        faulty_route: The only route with the fault; None if all routes have it.
    """

    kind: FaultKind
    random: Random
    hosts: list[MoveProgress]
    outcome: Outcome = attrs.field(factory=Outcome)
    events: list[tuple[float, int, Action]] = attrs.field(factory=list)
    in_flight: list[int] = attrs.field(factory=lambda: [0, 0])
    fault_start_s: float = 0
    severity: float = 1
    faulty_route: RouteName | None = None
    _sequence: 'itertools.count[int]' = attrs.field(factory=itertools.count)

    def schedule(self, time: float, action: Action) -> None:
        """Schedule an action at a time, in seconds."""
        heapq.heappush(self.events, (time, next(self._sequence), action))

    def run(self) -> Outcome:
        """Run the move until its verdict, or until the maximum overrun."""
        self._choose_fault()
        self.schedule(0, self._start_call)
        for host in range(HOSTS):
            self.schedule(
                self.random.uniform(0, HEARTBEAT_PERIOD_S),
                partial(self._send_heartbeats, host),
            )
        while self.events and not self._is_over():
            time, _, action = heapq.heappop(self.events)
            if time > MOVE_DURATION_S + MAX_OVERRUN_S:
                break
            action(time)
        return self.outcome

    def _choose_fault(self) -> None:
        self.severity = (
            self.random.uniform(3, 8)
            if self.kind in SLOW
            else self.random.uniform(0.2, 1)
        )
        if self.kind in LATE:
            self.fault_start_s = self.random.uniform(0.2, 0.7) * MOVE_DURATION_S
        if self.kind in ONE_ROUTE:
            self.faulty_route = self.random.choice(list(ROUTES))

    def _is_over(self) -> bool:
        is_finished = self.outcome.finished_s is not None
        return is_finished or all(
            host.stop_reason is not None for host in self.hosts
        )

    def _start_call(self, time: float) -> None:
        self.schedule(
            time + self.random.expovariate(CALLS_PER_SECOND), self._start_call
        )
        weights = [weight for weight, _ in ROUTES.values()]
        route = self.random.choices(list(ROUTES), weights)[0]
        host = self.random.choice(self.hosts)
        is_new = self.random.random() < host.get_traffic_share(route)
        self.outcome.calls += 1
        self.outcome.new += is_new
        self.outcome.after_stop += is_new and host.stop_reason is not None
        self._serve(time, host, route, is_new=is_new)

    def _serve(
        self, time: float, host: MoveProgress, route: RouteName, *, is_new: bool
    ) -> None:
        occupied = self.in_flight[is_new] / (SERVER_COUNT * SLOTS_PER_SERVER)
        load = int(self.random.random() < occupied)
        duration_s = self.random.expovariate(1 / ROUTES[route][1])
        failed = self.random.random() < self._get_error_rate()
        if is_new and self._is_faulty(time, route, occupied):
            if self.outcome.first_faulty_s is None:
                self.outcome.first_faulty_s = time
            self.outcome.faulty += 1
            if self.kind in SLOW:
                duration_s *= self.severity
            else:
                failed = failed or self.random.random() < self.severity
        self.in_flight[is_new] += 1
        sample = Sample(failed, Seconds(duration_s))

        def end(now: float) -> None:
            self.in_flight[is_new] -= 1
            record = host.record_new if is_new else host.record_old
            record(route, load, sample)
            self._record_stop(host, now)

        self.schedule(time + duration_s, end)

    def _get_error_rate(self) -> float:
        return 0.02 if self.kind is FaultKind.UNLUCKY else 0.001

    def _is_faulty(
        self, time: float, route: RouteName, occupied: float
    ) -> bool:
        if self.kind in GOOD or time < self.fault_start_s:
            return False
        if self.kind in LOAD and occupied < LOADED_SHARE:
            return False
        return self.faulty_route in {None, route}

    def _record_stop(self, host: MoveProgress, now: float) -> None:
        if host.stop_reason is not None and self.outcome.stopped_s is None:
            self.outcome.stopped_s = now

    def _send_heartbeats(self, index: int, time: float) -> None:
        host = self.hosts[index]
        self.schedule(
            time + HEARTBEAT_PERIOD_S, partial(self._send_heartbeats, index)
        )
        host.advance(EpochMs(int(time * 1000)))
        self._record_stop(host, time)
        if host.is_complete and self.outcome.finished_s is None:
            self.outcome.finished_s = time
        tallies = {name: route.own_tally for name, route in host.routes.items()}
        for peer in self.hosts:
            if peer is not host:
                receive = partial(
                    self._receive_heartbeat,
                    peer,
                    index,
                    tallies,
                    host.stop_reason,
                )
                self.schedule(time + HEARTBEAT_DELAY_S, receive)

    def _receive_heartbeat(
        self,
        peer: MoveProgress,
        sender: int,
        tallies: dict[RouteName, Tally],
        stop_reason: str | None,
        now: float,
    ) -> None:
        for name, tally in tallies.items():
            peer.add_peer_tally(HostId(str(sender)), name, tally)
        if stop_reason is not None:
            peer.stop(stop_reason)
        self._record_stop(peer, now)


def run_move(kind: FaultKind, seed: int) -> Outcome:
    """Simulate one move.

    Args:
        kind: Fault of the new version.
        seed: Seed of the random decisions.
    """
    hosts = [
        MoveProgress(
            move=MoveId('move'),
            asked_ms=EpochMs(0),
            finish_by_ms=EpochMs(int(MOVE_DURATION_S * 1000)),
        )
        for _ in range(HOSTS)
    ]
    return MoveSimulation(kind, Random(f'{kind.name} {seed}'), hosts).run()


class Summary(msgspec.Struct):
    """Summary of the moves with one kind of fault.

    Attributes:
        kind: Fault of the new version.
        moves: Number of moves.
        in_time: Number of moves that finished in time.
        late: Number of moves without a verdict in time.
        taken_back: Number of moves that were taken back.
        wrong: Number of moves to a good version that were taken back or late,
            or to a faulty version that finished or were late.
        met_p50: Median number of faulty calls per move.
        met_p90: 90th percentile of the number of faulty calls per move.
        met_max: Maximum number of faulty calls in a move.
        met_share: Faulty calls as a share of all calls until the verdict.
        seconds_p50: Median time from the first faulty call to the stop of the
            move, in seconds.
        seconds_max: Maximum of that time, in seconds.
    """

    kind: str
    moves: int
    in_time: int
    late: int
    taken_back: int
    wrong: int
    met_p50: float
    met_p90: float
    met_max: int
    met_share: float
    seconds_p50: float
    seconds_max: float


def summarize(kind: FaultKind, outcomes: list[Outcome]) -> Summary:
    """Summarize the moves with one kind of fault.

    Args:
        kind: Fault of the new version.
        outcomes: Outcome of each move.
    """
    stopped = [outcome for outcome in outcomes if outcome.stopped_s is not None]
    in_time = [
        outcome
        for outcome in outcomes
        if outcome.stopped_s is None
        and outcome.finished_s is not None
        and outcome.finished_s <= MOVE_DURATION_S
    ]
    correct = len(in_time) if kind in GOOD else len(stopped)
    faulty = sorted(outcome.faulty for outcome in outcomes)
    delays_s = [
        (outcome.stopped_s or 0) - outcome.first_faulty_s
        for outcome in stopped
        if outcome.first_faulty_s is not None
    ]
    return Summary(
        kind=kind.value,
        moves=len(outcomes),
        in_time=len(in_time),
        late=len(outcomes) - len(in_time) - len(stopped),
        taken_back=len(stopped),
        wrong=len(outcomes) - correct,
        met_p50=statistics.median(faulty),
        met_p90=faulty[int(0.9 * (len(faulty) - 1))],
        met_max=faulty[-1],
        met_share=round(
            sum(faulty) / sum(outcome.calls for outcome in outcomes), 4
        ),
        seconds_p50=round(statistics.median(delays_s or [0]), 2),
        seconds_max=round(max(delays_s or [0]), 2),
    )


def measure(moves: int = 100, seed: int = 0) -> None:
    """Simulate moves with each kind of fault and print a summary.

    Args:
        moves: Number of moves of each kind.
        seed: Seed of the first move; each further move has the next seed.
    """
    summaries = []
    for kind in FaultKind:
        outcomes = [run_move(kind, seed + index) for index in range(moves)]
        summary = summarize(kind, outcomes)
        summaries.append(summary)
        print(
            f'{summary.kind:32} in time {summary.in_time:3} '
            f'late {summary.late:3} taken back {summary.taken_back:3} '
            f'wrong {summary.wrong:3} | met p50 {summary.met_p50:6} '
            f'p90 {summary.met_p90:5} max {summary.met_max:5} '
            f'share {summary.met_share:7} | brake after s p50 '
            f'{summary.seconds_p50:6} max {summary.seconds_max:6}',
            flush=True,
        )
    print(msgspec.json.encode(summaries).decode())


if __name__ == '__main__':
    typer.run(measure)
