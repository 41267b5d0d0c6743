"""Evidence and stopped version moves that entry hosts exchange."""

import math
from collections.abc import Iterable, Iterator

import attrs

from ebonystream._ids import HostId, MoveId, RouteName, VersionName
from ebonystream.version._groups import Tally
from ebonystream.version._sequential import STAKED_FRACTIONS, LogGains
from ebonystream.version._traffic import VersionTraffic

MAX_ROUTES_PER_MOVE = 256
"""Number of routes known for a move from which on evidence of peers is
ignored."""

MAX_LOG_GAIN = 1e9
"""Upper bound on the absolute value of a log gain in well-formed evidence."""


@attrs.frozen(kw_only=True)
class StoppedMove:
    """Version move that a host has stopped, before the log has a verdict.

    Attributes:
        move: The id of the move.
        version: The new version, which receives no more calls.
        reason: Why the move was stopped.
    """

    move: MoveId
    version: VersionName
    reason: str


@attrs.frozen(kw_only=True)
class RouteEvidence:
    """Evidence that one host has collected on one route of a move.

    Attributes:
        move: The id of the move.
        route: The name of the route.
        tally: The sum of all comparisons so far.
    """

    move: MoveId
    route: RouteName
    tally: Tally


@attrs.define
class EvidenceExchange:
    """Lists evidence for peers and applies the evidence of peers.

    Attributes:
        traffic: The open version moves on this host.
        dropped: Number of malformed tallies received from peers.
    """

    traffic: VersionTraffic
    dropped: int = 0

    def list_stopped_moves(self) -> tuple[StoppedMove, ...]:
        """List the open moves that are stopped on this host."""
        return tuple(self._iter_stopped())

    def list_evidence(self) -> tuple[RouteEvidence, ...]:
        """List the evidence that this host has collected itself."""
        return tuple(
            RouteEvidence(
                move=move, route=route, tally=route_progress.own_tally
            )
            for move, progress in self.traffic.progress.items()
            for route, route_progress in progress.routes.items()
            if route_progress.own_tally.groups
        )

    def apply_stopped_moves(self, stopped: Iterable[StoppedMove]) -> None:
        """Stop the moves that a peer has stopped.

        Args:
            stopped: The stopped moves in the peer's heartbeat.
        """
        for stopped_move in stopped:
            self.traffic.stop_move(stopped_move.move, stopped_move.reason)

    def apply_evidence(
        self, host_incarnation: HostId, evidence: Iterable[RouteEvidence]
    ) -> None:
        """Add the evidence of a peer; ignore that on unknown moves.

        Args:
            host_incarnation: The host id and the incarnation of the peer.
            evidence: The evidence in the peer's heartbeat.
        """
        for item in evidence:
            progress = self.traffic.progress.get(item.move)
            if not _is_well_formed(item.tally):
                self.dropped += 1
            elif (
                progress is not None
                and len(progress.routes) < MAX_ROUTES_PER_MOVE
            ):
                progress.add_peer_tally(
                    host_incarnation, item.route, item.tally
                )

    def _iter_stopped(self) -> Iterator[StoppedMove]:
        for move in self.traffic.moves.values():
            reason = self.traffic.progress[move.id].stop_reason
            if reason is not None:
                yield StoppedMove(
                    move=move.id, version=move.to_version, reason=reason
                )


def _is_well_formed(tally: Tally) -> bool:
    gains = (tally.failure_gains, tally.latency_gains)
    return tally.groups >= 0 and all(map(_are_valid_gains, gains))


def _are_valid_gains(gains: LogGains) -> bool:
    if len(gains) != len(STAKED_FRACTIONS):
        return False
    return all(
        math.isfinite(gain) and abs(gain) <= MAX_LOG_GAIN for gain in gains
    )
