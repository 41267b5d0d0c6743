"""The open version moves on an entry host, and the current versions."""

from collections import Counter
from collections.abc import Callable

import attrs

from ebonystream._ids import EpochMs, MoveId, ServiceName, VersionName
from ebonystream.backend import Directory, ServerPhase
from ebonystream.move import VersionMove
from ebonystream.version._progress import MoveProgress

MAX_EARLY_STOPS = 64
"""Upper bound on the stopped moves kept that this host has not read yet."""


@attrs.frozen(kw_only=True)
class MovesView:
    """Accessors for the state of versions in the control stream.

    Attributes:
        list_moves: Lists the open version moves.
        find_settled_version: Returns the settled version of a service; None if
            the service has never moved.
        is_rolled_back: Returns whether a version was rolled back, so that it
            may never receive calls again.
    """

    list_moves: Callable[[], tuple[VersionMove, ...]]
    find_settled_version: Callable[[ServiceName], VersionName | None]
    is_rolled_back: Callable[[ServiceName, VersionName], bool]


@attrs.define(kw_only=True)
class VersionTraffic:
    """The open version moves on this host, and the versions of services.

    Attributes:
        view: The state of versions in the control stream.
        directory: The known servers.
        moves: The open moves, by service.
        progress: The progress of each open move on this host.
        default_versions: The version of each service that applies while no
            version is settled: the one with the most serving servers, kept
            until none of its servers is left.
        early_stops: Reasons of peers to stop moves that this host does not
            know yet.
    """

    view: MovesView
    directory: Directory
    moves: dict[ServiceName, VersionMove] = attrs.field(factory=dict)
    progress: dict[MoveId, MoveProgress] = attrs.field(factory=dict)
    default_versions: dict[ServiceName, VersionName] = attrs.field(factory=dict)
    early_stops: dict[MoveId, str] = attrs.field(factory=dict)

    def refresh(self, now_ms: EpochMs) -> None:
        """Read the control stream's state and advance the moves.

        Args:
            now_ms: Current wall-clock time, in milliseconds.
        """
        moves = self.view.list_moves()
        self.moves = {move.service: move for move in moves}
        self.progress = {move.id: self._get_progress(move) for move in moves}
        for progress in self.progress.values():
            progress.advance(now_ms)
        self._refresh_default_versions()

    def find_progress(self, service: ServiceName) -> MoveProgress | None:
        """Find the progress of a service's open move; None if it has none."""
        move = self.moves.get(service)
        return None if move is None else self.progress.get(move.id)

    def find_current_version(self, service: ServiceName) -> VersionName | None:
        """Find the current version of a service; None if any may be used."""
        settled = self.view.find_settled_version(service)
        return settled or self.default_versions.get(service)

    def stop_move(self, move: MoveId, reason: str) -> None:
        """Stop a move on this host that a peer has stopped.

        Args:
            move: The id of the move, which may not be known here yet.
            reason: Why the peer stopped it.
        """
        progress = self.progress.get(move)
        if progress is not None:
            progress.stop(reason)
        elif len(self.early_stops) < MAX_EARLY_STOPS:
            self.early_stops[move] = reason

    def _get_progress(self, move: VersionMove) -> MoveProgress:
        known = self.progress.get(move.id)
        if known is not None:
            return known
        return MoveProgress(
            move=move.id,
            asked_ms=move.asked_ms,
            finish_by_ms=move.finish_by_ms,
            stop_reason=self.early_stops.pop(move.id, None),
        )

    def _refresh_default_versions(self) -> None:
        for service in self.directory.by_service:
            versions = self._rank_versions(service)
            known = self.default_versions.get(service)
            if versions and known not in versions:
                max_rank = max(versions.values())
                self.default_versions[service] = min(
                    version
                    for version in versions
                    if versions[version] == max_rank
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
