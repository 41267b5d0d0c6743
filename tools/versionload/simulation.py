"""A version move on three zones, with the product's own decisions.

The hosts of a zone act as one. Their counts reach their own zone and the other
zones with the delays of gossip, as do verdicts.
"""

from random import Random

import attrs

from ebonystream._ids import (
    HostId,
    Monotonic,
    MoveId,
    RouteName,
    ServiceName,
    VersionName,
)
from ebonystream.versionmove import (
    MIN_FINISH_PROGRESS,
    AttemptOutcome,
    MoveCounts,
    MoveVerdict,
    VersionMove,
)

ZONES = 3
TICK_S = 0.1
TICKS_PER_S = 10
EVALUATION_TICKS = 2
OWN_ZONE_TICKS = 5
"""Delay of counts within a zone: 0.2 s of the request, 0.3 s of gossip."""

OTHER_ZONE_TICKS = 12
"""Delay of counts between zones, likewise."""

VERDICT_TICKS = 5
"""Delay of a verdict between zones."""

GOOD_FAILED_SHARE = 0.004
LOST_SHARE = 0.01
"""Share of attempts at either version that are overdue, from load."""

EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_BAD = 50
"""Bad responses after which a bad version may get requests for 5 s."""

ROUTES = (RouteName('r'), RouteName('r'), RouteName('r'), RouteName('s'))
"""Routes to draw from."""


@attrs.frozen(kw_only=True)
class Load:
    """The load of a move, and the fault of the new version.

    Attributes:
        rate: Requests a second.
        duration: Planned duration of the move, in seconds.
        failed_share: Share of requests that the new version fails.
        fault_progress: Elapsed share of the duration at which it begins to.
        fault_route: The only route that fails; None if all do.
        lost_share: Share of attempts that are overdue, at either version.
    """

    rate: float
    duration: int
    failed_share: float
    fault_progress: float = 0
    fault_route: RouteName | None = None
    lost_share: float = LOST_SHARE


@attrs.frozen(kw_only=True)
class MoveResult:
    """How a move went.

    Attributes:
        verdict: The verdict at the deadline.
        exposed: Requests that the new version got until the deadline.
        total: All requests until the deadline.
        late_s: How long after its 50th bad response the new version still got
            requests, in seconds; 0 without so many.
    """

    verdict: MoveVerdict
    exposed: int
    total: int
    late_s: float

    @property
    def bound(self) -> float:
        """The most requests that a bad version may get."""
        return EXPOSURE_SHARE * self.total + EXPOSURE_SLACK


@attrs.define
class _Zone:
    name: HostId
    move: VersionMove
    history: list[MoveCounts] = attrs.field(factory=list)

    def get_counts(self, tick: int, delay: int) -> MoveCounts:
        """Return the counts as they were known some ticks ago."""
        if tick < delay:
            return ()
        return self.history[tick - delay]


@attrs.define
class _World:
    load: Load
    random: Random
    zones: tuple[_Zone, ...]
    exposed: int = 0
    total: int = 0
    bad: int = 0
    last_bad_tick: int = 0
    last_exposed_tick: int = 0

    def run(self) -> MoveResult:
        """Run until the deadline."""
        for tick in range(self.load.duration * TICKS_PER_S):
            for zone in self.zones:
                self._send(zone, tick)
                zone.history.append(
                    tuple(map(attrs.evolve, zone.move.list_counts()))
                )
            if tick % EVALUATION_TICKS == 0:
                self._evaluate(tick)
        late_ticks = self.last_exposed_tick - self.last_bad_tick
        return MoveResult(
            verdict=self.zones[0].move.verdict,
            exposed=self.exposed,
            total=self.total,
            late_s=late_ticks * TICK_S if self.bad >= ROLLBACK_BAD else 0,
        )

    def _send(self, zone: _Zone, tick: int) -> None:
        """Send the requests of a zone in one tick."""
        share = zone.move.get_traffic_share(_get_time(tick))
        for _ in range(self._draw_arrivals()):
            self.total += 1
            route = self.random.choice(ROUTES)
            new = self.random.random() < share
            outcome = self._draw_outcome(route, tick, new=new)
            zone.move.record_attempt(route, new=new, outcome=outcome)
            if new:
                self._record_exposure(tick, outcome)

    def _draw_arrivals(self) -> int:
        """Draw a number from a Poisson distribution."""
        mean = self.load.rate / ZONES * TICK_S
        count = 0
        elapsed = self.random.expovariate(1)
        while elapsed < mean:
            count += 1
            elapsed += self.random.expovariate(1)
        return count

    def _draw_outcome(
        self, route: RouteName, tick: int, *, new: bool
    ) -> AttemptOutcome:
        load = self.load
        failed_share = GOOD_FAILED_SHARE
        fault_began = tick >= load.fault_progress * load.duration * TICKS_PER_S
        if new and fault_began and load.fault_route in {None, route}:
            failed_share = load.failed_share
        if self.random.random() < failed_share:
            return AttemptOutcome.FAILED
        if self.random.random() < load.lost_share:
            return AttemptOutcome.LOST
        return AttemptOutcome.GOOD

    def _record_exposure(self, tick: int, outcome: AttemptOutcome) -> None:
        self.exposed += 1
        self.last_exposed_tick = tick
        if outcome is AttemptOutcome.FAILED and self.bad < ROLLBACK_BAD:
            self.bad += 1
            self.last_bad_tick = tick

    def _evaluate(self, tick: int) -> None:
        now = _get_time(tick)
        for zone in self.zones:
            if zone.move.verdict is not MoveVerdict.RUNNING:
                continue
            counts = {
                other.name: other.get_counts(tick, _get_delay(zone, other))
                for other in self.zones
            }
            zone.move.evaluate(counts, now)
        self._spread_verdict(now)
        self._finish(now)

    def _spread_verdict(self, now: Monotonic) -> None:
        for zone in self.zones:
            for other in self.zones:
                age = now - other.move.verdict_changed_at
                is_known = age >= VERDICT_TICKS * TICK_S
                if other.move.verdict is MoveVerdict.ROLLED_BACK and is_known:
                    zone.move.verdict = MoveVerdict.ROLLED_BACK

    def _finish(self, now: Monotonic) -> None:
        moves = [zone.move for zone in self.zones]
        is_done = moves[0].get_progress(now) >= MIN_FINISH_PROGRESS
        if is_done and all(move.get_traffic_share(now) == 1 for move in moves):
            for move in moves:
                move.change_verdict(MoveVerdict.FINISHED, now)


def simulate(load: Load, seed: int) -> MoveResult:
    """Simulate a move until its deadline.

    Args:
        load: The load and the fault.
        seed: Seed of the random numbers.
    """
    zones = tuple(
        _Zone(HostId(f'zone-{number}'), _make_move(load.duration))
        for number in range(ZONES)
    )
    return _World(load, Random(seed), zones).run()


def _make_move(duration: float) -> VersionMove:
    return VersionMove(
        id=MoveId('m'),
        service=ServiceName('s'),
        version=VersionName('v2'),
        started_at=Monotonic(0),
        duration=duration,
        store_checked=True,
    )


def _get_time(tick: int) -> Monotonic:
    return Monotonic(tick * TICK_S)


def _get_delay(zone: _Zone, other: _Zone) -> int:
    return OWN_ZONE_TICKS if zone is other else OTHER_ZONE_TICKS
