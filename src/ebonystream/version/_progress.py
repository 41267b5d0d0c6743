"""One version move, as one entry host carries it out."""

import attrs

from ebonystream._ids import EpochMs, HostId, MoveId, RouteName
from ebonystream.version._groups import Sample, SamplePool, Tally
from ebonystream.version._sequential import SequentialTest
from ebonystream.version._stages import STAGES, RouteStage

LOAD_LEVELS = 2
"""Loads that are told apart: alone at its server, or beside other calls."""


HELD_SHARE = 0.1
"""The new version's share while there is evidence against it.

The largest at which each of its attempts still has a whole group.
"""


@attrs.define
class RouteProgress:
    """One route of a move.

    Attributes:
        own: What the groups of this host came to.
        failures: The test of whether the new version fails more.
        latency: The test of whether it is slower.
        stage: How far the route has come.
        pools: Attempts of the old version to compare with, for each load.
    """

    own: Tally = attrs.field(factory=Tally)
    failures: SequentialTest = attrs.field(factory=SequentialTest)
    latency: SequentialTest = attrs.field(factory=SequentialTest)
    stage: RouteStage = attrs.field(factory=RouteStage)
    pools: tuple[SamplePool, ...] = attrs.field(
        factory=lambda: tuple(SamplePool() for _ in range(LOAD_LEVELS))
    )

    @property
    def share(self) -> float:
        """The new version's share of the route's calls."""
        share = self.stage.share
        return min(share, HELD_SHARE) if self.is_held else share

    @property
    def is_held(self) -> bool:
        """Whether there is some evidence against the new version."""
        return self.failures.is_hold or self.latency.is_hold

    @property
    def is_bad_at_end(self) -> bool:
        """Whether the evidence suffices once the time to move is over."""
        return self.failures.is_late_alarm or self.latency.is_late_alarm

    def add(self, tally: Tally) -> None:
        """Take groups in, of this host or of a peer."""
        self.stage.groups += tally.groups
        self.failures.add(tally.failures)
        self.latency.add(tally.latency)

    def find_fault(self) -> str | None:
        """Say what is wrong with the new version, if anything is."""
        if self.failures.is_alarm:
            return 'it fails more often than the old version'
        if self.latency.is_alarm:
            return 'it is slower than the old version'
        return None


@attrs.define(kw_only=True)
class MoveProgress:
    """One version move on this host.

    Attributes:
        move: Names the move.
        asked_ms: When it was asked for.
        finish_by_ms: When it has to be finished.
        brake: Why the new version gets no more calls; None while it may.
        routes: How far each route has come.
        told: What each peer said last of each route.
        elapsed: The part of the time to move that was over at last.
    """

    move: MoveId
    asked_ms: EpochMs
    finish_by_ms: EpochMs
    brake: str | None = None
    routes: dict[RouteName, RouteProgress] = attrs.field(factory=dict)
    told: dict[tuple[HostId, RouteName], Tally] = attrs.field(factory=dict)
    elapsed: float = 0

    def find_share(self, route: RouteName) -> float:
        """Give the new version's share of a route's calls."""
        if self.brake is not None:
            return 0
        return self._find(route).share

    def add_old(self, route: RouteName, load: int, sample: Sample) -> None:
        """Take an attempt of the old version in.

        Args:
            route: The route of the call.
            load: Other calls that the server had in hand.
            sample: How it went.
        """
        progress = self._find(route)
        progress.stage.calls += 1
        progress.pools[_find_level(load)].add_old(sample)

    def add_new(self, route: RouteName, load: int, sample: Sample) -> None:
        """Take an attempt of the new version in.

        Args:
            route: The route of the call.
            load: Other calls that the server had in hand.
            sample: How it went.
        """
        progress = self._find(route)
        progress.stage.calls += 1
        tally = progress.pools[_find_level(load)].match(sample)
        if tally is not None:
            progress.own = progress.own.plus(tally)
            self._add(route, tally)

    def take(self, host: HostId, route: RouteName, tally: Tally) -> None:
        """Learn what the groups of a peer came to, all of them so far.

        Args:
            host: The peer's run, so that a restarted peer counts anew.
            route: The route.
            tally: The peer's own groups.
        """
        earlier = self.told.get((host, route), Tally())
        self.told[host, route] = tally
        self._add(route, tally.minus(earlier))

    def stop(self, reason: str) -> None:
        """Send the new version nothing from now on, for good.

        Args:
            reason: What was seen.
        """
        self.brake = self.brake or reason

    def advance(self, now_ms: EpochMs) -> None:
        """Let each route grow where time and its evidence allow it.

        Args:
            now_ms: The wall clock.
        """
        length = max(1, self.finish_by_ms - self.asked_ms)
        elapsed = (now_ms - self.asked_ms) / length
        self.elapsed = elapsed
        for route in self.routes.values():
            if not route.is_held:
                route.stage.advance(elapsed)
        bad = _list_bad_at_end(self)
        if elapsed >= 1 and bad:
            self.stop(f'evidence against it at the end: {", ".join(bad)}')

    @property
    def has_moved(self) -> bool:
        """Whether each route that was called has all its traffic moved."""
        if self.brake is not None or self.elapsed < STAGES[-1].begins:
            return False
        return all(route.stage.is_last for route in self.routes.values())

    def _find(self, route: RouteName) -> RouteProgress:
        return self.routes.setdefault(route, RouteProgress())

    def _add(self, route: RouteName, tally: Tally) -> None:
        progress = self._find(route)
        progress.add(tally)
        fault = progress.find_fault()
        if fault is not None:
            self.stop(f'on route {route} {fault}')


def _find_level(load: int) -> int:
    return min(load, LOAD_LEVELS - 1)


def _list_bad_at_end(progress: MoveProgress) -> list[RouteName]:
    every = progress.routes.items()
    return sorted(name for name, one in every if one.is_bad_at_end)
