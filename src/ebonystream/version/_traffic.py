"""Which version of a service each call may go to, on one entry host."""

from collections import Counter
from collections.abc import Callable

import attrs

from ebonystream._ids import EpochMs, MoveId, ServiceName, VersionName
from ebonystream.backend import Directory, ServerPhase
from ebonystream.move import VersionMove
from ebonystream.version._progress import MoveProgress

MAX_EARLY_BRAKES = 64
"""Brakes of moves that this host has not read of yet, at most."""


@attrs.frozen(kw_only=True)
class MovesView:
    """What the control stream says of versions.

    Attributes:
        list_moves: Gives the open version moves.
        find_settled: Gives the version that a service stands at, if it ever
            moved.
        is_taken_back: Tells whether a version may never return.
    """

    list_moves: Callable[[], tuple[VersionMove, ...]]
    find_settled: Callable[[ServiceName], VersionName | None]
    is_taken_back: Callable[[ServiceName, VersionName], bool]


@attrs.define(kw_only=True)
class VersionTraffic:
    """The open version moves of this host, and where services stand.

    Attributes:
        view: What the control stream says.
        directory: The servers that are known.
        moves: The open move of each service that has one.
        progress: How far each open move has come.
        incumbents: The version of each service that never moved.
        early_brakes: Brakes of moves that are not known here yet.
    """

    view: MovesView
    directory: Directory
    moves: dict[ServiceName, VersionMove] = attrs.field(factory=dict)
    progress: dict[MoveId, MoveProgress] = attrs.field(factory=dict)
    incumbents: dict[ServiceName, VersionName] = attrs.field(factory=dict)
    early_brakes: dict[MoveId, str] = attrs.field(factory=dict)

    def refresh(self, now_ms: EpochMs) -> None:
        """Take over what the control stream says, and let moves grow.

        Args:
            now_ms: The wall clock.
        """
        moves = self.view.list_moves()
        self.moves = {move.service: move for move in moves}
        self.progress = {move.id: self._find(move) for move in moves}
        for progress in self.progress.values():
            progress.advance(now_ms)
        self._refresh_incumbents()

    def find_progress(self, service: ServiceName) -> MoveProgress | None:
        """Give how far the open move of a service has come, if it has one."""
        move = self.moves.get(service)
        return None if move is None else self.progress.get(move.id)

    def find_standing(self, service: ServiceName) -> VersionName | None:
        """Give the version that has a service's traffic; None for any."""
        settled = self.view.find_settled(service)
        return settled or self.incumbents.get(service)

    def brake(self, move: MoveId, reason: str) -> None:
        """Stop a move here, as a peer has stopped it.

        Args:
            move: The move; it may not be known here yet.
            reason: What was seen.
        """
        progress = self.progress.get(move)
        if progress is not None:
            progress.stop(reason)
        elif len(self.early_brakes) < MAX_EARLY_BRAKES:
            self.early_brakes[move] = reason

    def _find(self, move: VersionMove) -> MoveProgress:
        known = self.progress.get(move.id)
        if known is not None:
            return known
        return MoveProgress(
            move=move.id,
            asked_ms=move.asked_ms,
            finish_by_ms=move.finish_by_ms,
            brake=self.early_brakes.pop(move.id, None),
        )

    def _refresh_incumbents(self) -> None:
        for service in self.directory.by_service:
            versions = self._rank_versions(service)
            known = self.incumbents.get(service)
            if versions and known not in versions:
                best = max(versions.values())
                self.incumbents[service] = min(
                    version for version in versions if versions[version] == best
                )

    def _rank_versions(
        self, service: ServiceName
    ) -> dict[VersionName, tuple[int, int]]:
        present = [
            server
            for server in self.directory.list_servers(service)
            if not server.leaving
        ]
        listed = Counter(server.version for server in present)
        serving = Counter(
            server.version
            for server in present
            if server.lifecycle.phase is ServerPhase.SERVING
        )
        return {
            version: (serving[version], listed[version]) for version in listed
        }
