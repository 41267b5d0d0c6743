"""What entry hosts tell one another of version moves."""

import math
from collections.abc import Iterable, Iterator

import attrs

from ebonystream._ids import HostId, MoveId, RouteName, VersionName
from ebonystream.version._groups import Tally
from ebonystream.version._sequential import BETS, Gains
from ebonystream.version._traffic import VersionTraffic

MAX_ROUTES = 256
"""Routes of one move that peers are believed of."""

LARGEST_GAIN = 1e9
"""The logarithm of a bet beyond which it was not counted."""


@attrs.frozen(kw_only=True)
class Brake:
    """One host's verdict that a version is bad, before the log has it.

    Attributes:
        move: The move that brought the version.
        version: The version.
        reason: What was seen.
    """

    move: MoveId
    version: VersionName
    reason: str


@attrs.frozen(kw_only=True)
class RouteEvidence:
    """What the groups of one host came to on one route of a move.

    Attributes:
        move: The move.
        route: The route.
        tally: All groups so far.
    """

    move: MoveId
    route: RouteName
    tally: Tally


@attrs.define
class EvidenceExchange:
    """Tells peers of version moves and learns from them.

    Attributes:
        traffic: The moves of this host.
        dropped: Evidence from peers that made no sense.
    """

    traffic: VersionTraffic
    dropped: int = 0

    def list_brakes(self) -> tuple[Brake, ...]:
        """Give the moves that are stopped here."""
        return tuple(self._find_brakes())

    def list_evidence(self) -> tuple[RouteEvidence, ...]:
        """Give what this host's own groups came to."""
        return tuple(
            RouteEvidence(move=move, route=route, tally=one.own)
            for move, progress in self.traffic.progress.items()
            for route, one in progress.routes.items()
            if one.own.groups
        )

    def take_brakes(self, brakes: Iterable[Brake]) -> None:
        """Stop the moves that a peer has stopped.

        Args:
            brakes: What the heartbeat told.
        """
        for brake in brakes:
            self.traffic.brake(brake.move, brake.reason)

    def take_evidence(
        self, host: HostId, evidence: Iterable[RouteEvidence]
    ) -> None:
        """Learn what a peer's groups came to.

        Args:
            host: The peer's run.
            evidence: What the heartbeat told.
        """
        for one in evidence:
            progress = self.traffic.progress.get(one.move)
            if not _is_sound(one.tally):
                self.dropped += 1
            elif progress is not None and len(progress.routes) < MAX_ROUTES:
                progress.take(host, one.route, one.tally)

    def _find_brakes(self) -> Iterator[Brake]:
        for move in self.traffic.moves.values():
            reason = self.traffic.progress[move.id].brake
            if reason is not None:
                yield Brake(
                    move=move.id, version=move.to_version, reason=reason
                )


def _is_sound(tally: Tally) -> bool:
    gains = (tally.failures, tally.latency)
    return tally.groups >= 0 and all(map(_are_gains, gains))


def _are_gains(gains: Gains) -> bool:
    if len(gains) != len(BETS):
        return False
    return all(
        math.isfinite(gain) and abs(gain) <= LARGEST_GAIN for gain in gains
    )
