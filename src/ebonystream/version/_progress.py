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
        own_tally: The sum of the comparisons made on this host.
        failure_test: Tests whether the new version fails more often.
        latency_test: Tests whether the new version is slower.
        stage: The current stage of the route.
        sample_pools: Samples of the old version to compare with, by load level.
    """

    own_tally: Tally = attrs.field(factory=Tally)
    failure_test: SequentialTest = attrs.field(factory=SequentialTest)
    latency_test: SequentialTest = attrs.field(factory=SequentialTest)
    stage: RouteStage = attrs.field(factory=RouteStage)
    sample_pools: tuple[SamplePool, ...] = attrs.field(
        factory=lambda: tuple(SamplePool() for _ in range(LOAD_LEVELS))
    )

    @property
    def traffic_share(self) -> float:
        """The new version's share of the route's calls, from 0 to 1."""
        share = self.stage.traffic_share
        return min(share, MAX_SHARE_ON_HOLD) if self.is_on_hold else share

    @property
    def is_on_hold(self) -> bool:
        """Whether evidence against the new version limits its share."""
        return (
            self.failure_test.is_hold_reached
            or self.latency_test.is_hold_reached
        )

    @property
    def is_worse_at_end(self) -> bool:
        """Whether the evidence suffices to stop the move at its time limit."""
        return (
            self.failure_test.is_late_alarm_reached
            or self.latency_test.is_late_alarm_reached
        )

    def add_tally(self, tally: Tally) -> None:
        """Add comparisons made on this host or on a peer."""
        self.stage.groups += tally.groups
        self.failure_test.add(tally.failure_gains)
        self.latency_test.add(tally.latency_gains)

    def find_fault(self) -> str | None:
        """Return in which way the new version is worse; None if it is not."""
        if self.failure_test.is_alarm_reached:
            return 'it fails more often than the old version'
        if self.latency_test.is_alarm_reached:
            return 'it is slower than the old version'
        return None


@attrs.define(kw_only=True)
class MoveProgress:
    """Progress of a version move on this host.

    Attributes:
        move: The id of the move.
        asked_ms: When the log accepted the request for the move.
        finish_by_ms: Time limit of the move.
        stop_reason: Why the move was stopped, so that the new version receives
            no more calls; None if it was not stopped.
        routes: The progress on each route that has been called.
        peer_tallies: The latest tally of each peer for each route, by the host
            id and the incarnation of the peer and the name of the route.
        elapsed_share: Elapsed share of the move's duration at the last update;
            may exceed 1.
    """

    move: MoveId
    asked_ms: EpochMs
    finish_by_ms: EpochMs
    stop_reason: str | None = None
    routes: dict[RouteName, RouteProgress] = attrs.field(factory=dict)
    peer_tallies: dict[tuple[HostId, RouteName], Tally] = attrs.field(
        factory=dict
    )
    elapsed_share: float = 0

    def get_traffic_share(self, route: RouteName) -> float:
        """Return the new version's share of a route's calls, from 0 to 1."""
        if self.stop_reason is not None:
            return 0
        return self._get_route(route).traffic_share

    def record_old(self, route: RouteName, load: int, sample: Sample) -> None:
        """Record an attempt at the old version.

        Args:
            route: The route of the call.
            load: Other calls that were in flight at the server.
            sample: The result of the attempt.
        """
        progress = self._get_route(route)
        progress.stage.calls += 1
        progress.sample_pools[_get_load_level(load)].add(sample)

    def record_new(self, route: RouteName, load: int, sample: Sample) -> None:
        """Record an attempt at the new version and compare it.

        Args:
            route: The route of the call.
            load: Other calls that were in flight at the server.
            sample: The result of the attempt.
        """
        progress = self._get_route(route)
        progress.stage.calls += 1
        tally = progress.sample_pools[_get_load_level(load)].compare(sample)
        if tally is not None:
            progress.own_tally = progress.own_tally.plus(tally)
            self._add_tally(route, tally)

    def add_peer_tally(
        self, host_incarnation: HostId, route: RouteName, tally: Tally
    ) -> None:
        """Add the comparisons of a peer that have not been added before.

        Args:
            host_incarnation: The host id and the incarnation of the peer, as a
                restarted peer counts from 0 again.
            route: The name of the route.
            tally: The sum of all comparisons that the peer has made itself.
        """
        earlier = self.peer_tallies.get((host_incarnation, route), Tally())
        self.peer_tallies[host_incarnation, route] = tally
        self._add_tally(route, tally.minus(earlier))

    def stop(self, reason: str) -> None:
        """Stop the move for good: the new version receives no more calls.

        Args:
            reason: Why; ignored if the move was stopped before.
        """
        self.stop_reason = self.stop_reason or reason

    def advance(self, now_ms: EpochMs) -> None:
        """Advance each route whose time and evidence permit it.

        Args:
            now_ms: Current wall-clock time, in milliseconds.
        """
        duration_ms = max(1, self.finish_by_ms - self.asked_ms)
        elapsed_share = (now_ms - self.asked_ms) / duration_ms
        self.elapsed_share = elapsed_share
        for route in self.routes.values():
            if not route.is_on_hold:
                route.stage.advance(elapsed_share)
        worse = _list_worse_at_end(self)
        if elapsed_share >= 1 and worse:
            self.stop(f'evidence against it at the end: {", ".join(worse)}')

    @property
    def is_complete(self) -> bool:
        """Whether all traffic has moved, on each route that was called."""
        if (
            self.stop_reason is not None
            or self.elapsed_share < STAGES[-1].min_elapsed_share
        ):
            return False
        return all(route.stage.is_last for route in self.routes.values())

    def _get_route(self, route: RouteName) -> RouteProgress:
        return self.routes.setdefault(route, RouteProgress())

    def _add_tally(self, route: RouteName, tally: Tally) -> None:
        progress = self._get_route(route)
        progress.add_tally(tally)
        fault = progress.find_fault()
        if fault is not None:
            self.stop(f'on route {route} {fault}')


def _get_load_level(load: int) -> int:
    return min(load, LOAD_LEVELS - 1)


def _list_worse_at_end(progress: MoveProgress) -> list[RouteName]:
    routes = progress.routes.items()
    return sorted(name for name, route in routes if route.is_worse_at_end)
