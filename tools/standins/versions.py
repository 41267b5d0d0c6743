"""Measures version moves: right and wrong verdicts, and calls that met a fault.

A discrete-event run on virtual time of the product's own decisions
(`ebonystream.version`), fed with the answers of two made-up versions. Its last
line is one JSON object.
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
LENGTH_S = 60.0
PATIENCE_S = 5.0
HEARTBEAT_S = 0.25
HEARTBEAT_WAY_S = 0.05
SERVERS = 10
SLOTS = 2
ROUTES = MappingProxyType(
    {
        RouteName('find-rack'): (0.7, 0.03),
        RouteName('book'): (0.27, 0.05),
        RouteName('certificate'): (0.03, 0.1),
    }
)
"""The part of the calls that each route has, and its mean time in seconds."""
LOADED = 0.2
"""The part of its slots above which a version counts as loaded."""


Act = Callable[[float], None]
"""Something that happens at a time."""


class Kind(enum.Enum):
    """What is wrong with the new version."""

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


GOOD = frozenset((Kind.GOOD, Kind.UNLUCKY))
SLOW = frozenset((Kind.SLOW, Kind.LATE_SLOW, Kind.LOAD_SLOW, Kind.ROUTE_SLOW))
LATE = frozenset((Kind.LATE_FAILS, Kind.LATE_SLOW))
LOAD = frozenset((Kind.LOAD_FAILS, Kind.LOAD_SLOW))
ONE_ROUTE = frozenset((Kind.ROUTE_FAILS, Kind.ROUTE_SLOW))


@attrs.define
class Outcome:
    """How one move ended.

    Attributes:
        finished_s: When it was finished, if it was.
        taken_back_s: When it was taken back, if it was.
        fault_s: When the first call met the fault, if any did.
        met: Calls that met the fault.
        after_brake: Calls sent to the new version after its host's brake.
        new: Calls sent to the new version.
        calls: All calls.
    """

    finished_s: float | None = None
    taken_back_s: float | None = None
    fault_s: float | None = None
    met: int = 0
    after_brake: int = 0
    new: int = 0
    calls: int = 0


@attrs.define
class Bench:
    """One move on a few entry hosts.

    Attributes:
        kind: What is wrong with the new version.
        random: The seeded source of random choices.
        hosts: The move, as each host carries it out.
        outcome: How it ended.
        events: What happens when.
        busy: Calls in hand of the old and the new version.
    """

    kind: Kind
    random: Random
    hosts: list[MoveProgress]
    outcome: Outcome = attrs.field(factory=Outcome)
    events: list[tuple[float, int, Act]] = attrs.field(factory=list)
    busy: list[int] = attrs.field(factory=lambda: [0, 0])
    begins_s: float = 0
    severity: float = 1
    bad_route: RouteName | None = None
    _order: 'itertools.count[int]' = attrs.field(factory=itertools.count)

    def at(self, time: float, act: Act) -> None:
        """Have something happen at a time."""
        heapq.heappush(self.events, (time, next(self._order), act))

    def run(self) -> Outcome:
        """Run the move to its end, or until it is too late."""
        self._choose_fault()
        self.at(0, self._arrive)
        for host in range(HOSTS):
            self.at(
                self.random.uniform(0, HEARTBEAT_S), partial(self._beat, host)
            )
        while self.events and not self._is_over():
            time, _, act = heapq.heappop(self.events)
            if time > LENGTH_S + PATIENCE_S:
                break
            act(time)
        return self.outcome

    def _choose_fault(self) -> None:
        self.severity = (
            self.random.uniform(3, 8)
            if self.kind in SLOW
            else self.random.uniform(0.2, 1)
        )
        if self.kind in LATE:
            self.begins_s = self.random.uniform(0.2, 0.7) * LENGTH_S
        if self.kind in ONE_ROUTE:
            self.bad_route = self.random.choice(list(ROUTES))

    def _is_over(self) -> bool:
        ended = self.outcome.finished_s is not None
        return ended or all(host.stop_reason is not None for host in self.hosts)

    def _arrive(self, time: float) -> None:
        self.at(time + self.random.expovariate(CALLS_PER_SECOND), self._arrive)
        weights = [weight for weight, _ in ROUTES.values()]
        route = self.random.choices(list(ROUTES), weights)[0]
        host = self.random.choice(self.hosts)
        is_new = self.random.random() < host.get_traffic_share(route)
        self.outcome.calls += 1
        self.outcome.new += is_new
        self.outcome.after_brake += is_new and host.stop_reason is not None
        self._serve(time, host, route, is_new=is_new)

    def _serve(
        self, time: float, host: MoveProgress, route: RouteName, *, is_new: bool
    ) -> None:
        part = self.busy[is_new] / (SERVERS * SLOTS)
        load = int(self.random.random() < part)
        took = self.random.expovariate(1 / ROUTES[route][1])
        failed = self.random.random() < self._error_rate()
        if is_new and self._is_bad(time, route, part):
            if self.outcome.fault_s is None:
                self.outcome.fault_s = time
            self.outcome.met += 1
            if self.kind in SLOW:
                took *= self.severity
            else:
                failed = failed or self.random.random() < self.severity
        self.busy[is_new] += 1
        sample = Sample(failed, Seconds(took))

        def end(now: float) -> None:
            self.busy[is_new] -= 1
            add = host.record_new if is_new else host.record_old
            add(route, load, sample)
            self._note_brake(host, now)

        self.at(time + took, end)

    def _error_rate(self) -> float:
        return 0.02 if self.kind is Kind.UNLUCKY else 0.001

    def _is_bad(self, time: float, route: RouteName, part: float) -> bool:
        if self.kind in GOOD or time < self.begins_s:
            return False
        if self.kind in LOAD and part < LOADED:
            return False
        return self.bad_route in {None, route}

    def _note_brake(self, host: MoveProgress, now: float) -> None:
        if host.stop_reason is not None and self.outcome.taken_back_s is None:
            self.outcome.taken_back_s = now

    def _beat(self, index: int, time: float) -> None:
        host = self.hosts[index]
        self.at(time + HEARTBEAT_S, partial(self._beat, index))
        host.advance(EpochMs(int(time * 1000)))
        self._note_brake(host, time)
        if host.is_complete and self.outcome.finished_s is None:
            self.outcome.finished_s = time
        told = {name: one.own_tally for name, one in host.routes.items()}
        for peer in self.hosts:
            if peer is not host:
                hear = partial(self._hear, peer, index, told, host.stop_reason)
                self.at(time + HEARTBEAT_WAY_S, hear)

    def _hear(
        self,
        peer: MoveProgress,
        sender: int,
        told: dict[RouteName, Tally],
        brake: str | None,
        now: float,
    ) -> None:
        for name, tally in told.items():
            peer.add_peer_tally(HostId(str(sender)), name, tally)
        if brake is not None:
            peer.stop(brake)
        self._note_brake(peer, now)


def run_move(kind: Kind, seed: int) -> Outcome:
    """Run one move.

    Args:
        kind: What is wrong with the new version.
        seed: Seeds every choice of the run.
    """
    hosts = [
        MoveProgress(
            move=MoveId('move'),
            asked_ms=EpochMs(0),
            finish_by_ms=EpochMs(int(LENGTH_S * 1000)),
        )
        for _ in range(HOSTS)
    ]
    return Bench(kind, Random(f'{kind.name} {seed}'), hosts).run()


class Summary(msgspec.Struct):
    """What the moves of one kind came to.

    Attributes:
        kind: What was wrong with the new version.
        moves: How many there were.
        in_time: Moves that were finished in time.
        late: Moves without a verdict when the time was over.
        taken_back: Moves that were taken back.
        wrong: Good ones taken back or late, bad ones finished or late.
        met_p50: Median of the calls that met the fault.
        met_p90: The same for 9 in 10 moves.
        met_max: The most calls that met the fault.
        met_share: Those calls as a share of all calls until the verdict.
        seconds_p50: From the first call that met the fault to the brake.
        seconds_max: The longest of those times.
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


def summarize(kind: Kind, outcomes: list[Outcome]) -> Summary:
    """Sum up the moves of one kind.

    Args:
        kind: What was wrong with the new version.
        outcomes: How they ended.
    """
    taken = [one for one in outcomes if one.taken_back_s is not None]
    in_time = [
        one
        for one in outcomes
        if one.taken_back_s is None
        and one.finished_s is not None
        and one.finished_s <= LENGTH_S
    ]
    right = len(in_time) if kind in GOOD else len(taken)
    met = sorted(one.met for one in outcomes)
    waits = [
        (one.taken_back_s or 0) - one.fault_s
        for one in taken
        if one.fault_s is not None
    ]
    return Summary(
        kind=kind.value,
        moves=len(outcomes),
        in_time=len(in_time),
        late=len(outcomes) - len(in_time) - len(taken),
        taken_back=len(taken),
        wrong=len(outcomes) - right,
        met_p50=statistics.median(met),
        met_p90=met[int(0.9 * (len(met) - 1))],
        met_max=met[-1],
        met_share=round(sum(met) / sum(one.calls for one in outcomes), 4),
        seconds_p50=round(statistics.median(waits or [0]), 2),
        seconds_max=round(max(waits or [0]), 2),
    )


def measure(moves: int = 100, seed: int = 0) -> None:
    """Run seeded moves of each kind and print what came of them.

    Args:
        moves: How many of each kind.
        seed: The seed of the first; each one after it has the next.
    """
    summaries = []
    for kind in Kind:
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
