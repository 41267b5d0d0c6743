"""The version moves of this host, and the choice of version per request."""

from collections.abc import Iterable, Mapping

import attrs

from ebonystream._ids import Monotonic, MoveId, ServiceName, VersionName
from ebonystream.orders import VersionOrder
from ebonystream.roster import KnownServer
from ebonystream.versionmove._move import MoveVerdict, VersionMove


@attrs.define
class VersionMoves:
    """The newest version move of each service.

    Attributes:
        moves: The moves, by id of the order.
    """

    moves: dict[MoveId, VersionMove] = attrs.field(factory=dict)

    def update(
        self, orders: Iterable[VersionOrder], now: Monotonic
    ) -> list[VersionMove]:
        """Add the moves of new orders, and return these moves.

        A move stays in effect after its order is gone, until another move
        of the service replaces it.

        Args:
            orders: The current orders.
            now: The current time.
        """
        new_moves: list[VersionMove] = []
        for order in orders:
            if order.id in self.moves:
                continue
            move = VersionMove(
                id=order.id,
                service=order.service,
                version=order.version,
                started_at=now,
                verdict_changed_at=now,
                duration=order.within,
            )
            self._remove_previous(order.service)
            self.moves[order.id] = move
            new_moves.append(move)
        return new_moves

    def list_running(self) -> list[VersionMove]:
        """List the moves that are still running."""
        return [
            move
            for move in self.moves.values()
            if move.verdict is MoveVerdict.RUNNING
        ]

    def find_by_service(self, service: ServiceName) -> VersionMove | None:
        """Find the move of a service; None if there is none.

        Args:
            service: The name of the service.
        """
        for move in self.moves.values():
            if move.service == service:
                return move
        return None

    def update_capacity(
        self, servers: Iterable[KnownServer], now: Monotonic
    ) -> None:
        """Update the capacity of the new version in each running move.

        Args:
            servers: All known servers, of any service.
            now: The current time.
        """
        usable = [server for server in servers if server.is_usable(now)]
        for move in self.list_running():
            by_version = _split_by_version(
                (
                    candidate
                    for candidate in usable
                    if candidate.entry.service == move.service
                ),
                move.version,
            )
            move.capacity_ratio = len(by_version[True]) / max(
                1, len(by_version[False])
            )

    def select_servers(
        self,
        service: ServiceName,
        servers: list[KnownServer],
        *,
        now: Monotonic,
        version_draw: float,
    ) -> list[KnownServer]:
        """Select the servers of the version that a request goes to.

        Args:
            service: The service of the request.
            servers: The servers of the service.
            now: The current time.
            version_draw: The random number of the request, from 0 to 1.
        """
        move = self.find_by_service(service)
        if move is None:
            return servers
        by_version = _split_by_version(servers, move.version)
        share = move.get_traffic_share(now)
        to_new_version = version_draw < share or share == 1
        if (
            move.verdict is MoveVerdict.RUNNING
            and not by_version[to_new_version]
        ):
            # The selected version has no server: none of the new version has
            # started yet, or none of the old version is left.
            return by_version[False] if share < 1 else by_version[True]
        return by_version[to_new_version]

    def _remove_previous(self, service: ServiceName) -> None:
        previous = self.find_by_service(service)
        if previous is not None:
            self.moves.pop(previous.id)


def _split_by_version(
    servers: Iterable[KnownServer], version: VersionName
) -> Mapping[bool, list[KnownServer]]:
    """Split servers by whether they run a version."""
    split: dict[bool, list[KnownServer]] = {False: [], True: []}
    for server in servers:
        split[server.entry.version == version].append(server)
    return split
