"""The progress of a version move on one entry host."""

import attrs

from ebonystream._ids import EpochMs, HostId, MoveId, RouteName
from ebonystream.version._groups import Sample, SamplePool, Tally
from ebonystream.version._sequential import SequentialTest
from ebonystream.version._stages import STAGES, RouteStage

LOAD_LEVELS = 2
"""Levels of load that are compared separately: 0 other calls in flight at the
server, or more."""


MAX_SHARE_ON_HOLD = 0.1
"""Upper bound on the new version's share while there is evidence against it.

The largest share at which each attempt of the new version is still compared
with a full group.
"""


@attrs.define
class RouteProgress:
    """Progress of a move on one route.

    Attributes:
        own: The sum of the comparisons made on this host.
        failures: Tests whether the new version fails more often.
        latency: Tests whether the new version is slower.
        stage: The current stage of the route.
        pools: Samples of the old version to compare with, by level of load.
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
        """The new version's share of the route's calls, from 0 to 1."""
        share = self.stage.share
        return min(share, MAX_SHARE_ON_HOLD) if self.is_held else share

    @property
    def is_held(self) -> bool:
        """Whether the share may not grow because of evidence against it."""
        return self.failures.is_hold or self.latency.is_hold

    @property
    def is_bad_at_end(self) -> bool:
        """Whether the evidence suffices to stop the move at its time limit."""
        return self.failures.is_late_alarm or self.latency.is_late_alarm

    def add(self, tally: Tally) -> None:
        """Add comparisons made on this host or on a peer."""
        self.stage.groups += tally.groups
        self.failures.add(tally.failures)
        self.latency.add(tally.latency)

    def find_fault(self) -> str | None:
        """Return in which way the new version is worse; None if it is not."""
        if self.failures.is_alarm:
            return 'it fails more often than the old version'
        if self.latency.is_alarm:
            return 'it is slower than the old version'
        return None


@attrs.define(kw_only=True)
class MoveProgress:
    """Progress of a version move on this host.

    Attributes:
        move: The id of the move.
        asked_ms: When the log accepted the request for the move.
        finish_by_ms: Time limit of the move.
        brake: Why the move was stopped, so that the new version receives no
            more calls; None if it was not stopped.
        routes: The progress on each route that has been called.
        told: The latest tally that each peer sent for each route.
        elapsed: Elapsed share of the move's duration at the last update; may
            exceed 1.
    """

    move: MoveId
    asked_ms: EpochMs
    finish_by_ms: EpochMs
    brake: str | None = None
    routes: dict[RouteName, RouteProgress] = attrs.field(factory=dict)
    told: dict[tuple[HostId, RouteName], Tally] = attrs.field(factory=dict)
    elapsed: float = 0

    def find_share(self, route: RouteName) -> float:
        """Return the new version's share of a route's calls, from 0 to 1."""
        if self.brake is not None:
            return 0
        return self._get_route(route).share

    def add_old(self, route: RouteName, load: int, sample: Sample) -> None:
        """Record an attempt at the old version.

        Args:
            route: The route of the call.
            load: Other calls that were in flight at the server.
            sample: The result of the attempt.
        """
        progress = self._get_route(route)
        progress.stage.calls += 1
        progress.pools[_get_load_level(load)].add_old(sample)

    def add_new(self, route: RouteName, load: int, sample: Sample) -> None:
        """Record an attempt at the new version and compare it.

        Args:
            route: The route of the call.
            load: Other calls that were in flight at the server.
            sample: The result of the attempt.
        """
        progress = self._get_route(route)
        progress.stage.calls += 1
        tally = progress.pools[_get_load_level(load)].match(sample)
        if tally is not None:
            progress.own = progress.own.plus(tally)
            self._add_tally(route, tally)

    def take(self, host: HostId, route: RouteName, tally: Tally) -> None:
        """Add the comparisons of a peer that have not been added before.

        Args:
            host: The peer and its incarnation, as a restarted peer counts
                from 0 again.
            route: The name of the route.
            tally: The sum of all comparisons that the peer has made itself.
        """
        earlier = self.told.get((host, route), Tally())
        self.told[host, route] = tally
        self._add_tally(route, tally.minus(earlier))

    def stop(self, reason: str) -> None:
        """Stop the move for good: the new version receives no more calls.

        Args:
            reason: Why; ignored if the move was stopped before.
        """
        self.brake = self.brake or reason

    def advance(self, now_ms: EpochMs) -> None:
        """Advance each route whose time and evidence permit it.

        Args:
            now_ms: Current wall-clock time, in milliseconds.
        """
        duration_ms = max(1, self.finish_by_ms - self.asked_ms)
        elapsed_share = (now_ms - self.asked_ms) / duration_ms
        self.elapsed = elapsed_share
        for route in self.routes.values():
            if not route.is_held:
                route.stage.advance(elapsed_share)
        worse = _list_worse_at_end(self)
        if elapsed_share >= 1 and worse:
            self.stop(f'evidence against it at the end: {", ".join(worse)}')

    @property
    def has_moved(self) -> bool:
        """Whether all traffic has moved, on each route that was called."""
        if self.brake is not None or self.elapsed < STAGES[-1].begins:
            return False
        return all(route.stage.is_last for route in self.routes.values())

    def _get_route(self, route: RouteName) -> RouteProgress:
        return self.routes.setdefault(route, RouteProgress())

    def _add_tally(self, route: RouteName, tally: Tally) -> None:
        progress = self._get_route(route)
        progress.add(tally)
        fault = progress.find_fault()
        if fault is not None:
            self.stop(f'on route {route} {fault}')


def _get_load_level(load: int) -> int:
    return min(load, LOAD_LEVELS - 1)


def _list_worse_at_end(progress: MoveProgress) -> list[RouteName]:
    routes = progress.routes.items()
    return sorted(name for name, route in routes if route.is_bad_at_end)
