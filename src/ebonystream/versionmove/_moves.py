"""The version moves of this host, and which versions may get a request."""

from collections.abc import Iterable, Mapping

import attrs

from ebonystream._ids import Monotonic, MoveId, ServiceName, VersionName
from ebonystream.orders import VersionOrder
from ebonystream.roster import KnownServer
from ebonystream.versionmove._move import MoveVerdict, VersionMove


@attrs.define
class VersionMoves:
    """All version moves that were ordered.

    Attributes:
        moves: Each move, by its order.
    """

    moves: dict[MoveId, VersionMove] = attrs.field(factory=dict)

    def take(
        self, ordered: Iterable[VersionOrder], now: Monotonic
    ) -> list[VersionMove]:
        """Take the orders over; give the moves that are new.

        A move whose order is gone goes on ruling its service as it ended.

        Args:
            ordered: The orders in force.
            now: The time.
        """
        new: list[VersionMove] = []
        for order in ordered:
            if order.id in self.moves:
                continue
            move = VersionMove(
                id=order.id,
                service=order.service,
                version=order.version,
                began=now,
                changed=now,
                within=order.within,
            )
            self._drop_earlier(order.service)
            self.moves[order.id] = move
            new.append(move)
        return new

    def list_running(self) -> list[VersionMove]:
        """List the moves without a verdict."""
        return [
            move
            for move in self.moves.values()
            if move.verdict is MoveVerdict.RUNNING
        ]

    def find(self, service: ServiceName) -> VersionMove | None:
        """Find the move of a service.

        Args:
            service: The service.
        """
        for move in self.moves.values():
            if move.service == service:
                return move
        return None

    def measure(self, servers: Iterable[KnownServer], now: Monotonic) -> None:
        """Measure how many servers each new version has beside the others.

        Args:
            servers: All servers that are known.
            now: The time.
        """
        usable = [server for server in servers if server.is_usable(now)]
        for move in self.list_running():
            parts = _split(
                (one for one in usable if one.entry.service == move.service),
                move.version,
            )
            move.capacity = len(parts[True]) / max(1, len(parts[False]))

    def narrow(
        self,
        service: ServiceName,
        servers: list[KnownServer],
        *,
        now: Monotonic,
        draw: float,
    ) -> list[KnownServer]:
        """Leave the servers of the version that one request goes to.

        Args:
            service: The service.
            servers: Its servers.
            now: The time.
            draw: The request's draw, from 0 to 1.
        """
        move = self.find(service)
        if move is None:
            return servers
        parts = _split(servers, move.version)
        share = move.get_share(now)
        wants_new = draw < share or share == 1
        if move.verdict is MoveVerdict.RUNNING and not parts[wants_new]:
            # One part has no server: none of the new version started yet,
            # or none of the old one is left.
            return parts[False] if share < 1 else parts[True]
        return parts[wants_new]

    def _drop_earlier(self, service: ServiceName) -> None:
        earlier = self.find(service)
        if earlier is not None:
            self.moves.pop(earlier.id)


def _split(
    servers: Iterable[KnownServer], version: VersionName
) -> Mapping[bool, list[KnownServer]]:
    """Part servers into those that run a version and the others."""
    parts: dict[bool, list[KnownServer]] = {False: [], True: []}
    for server in servers:
        parts[server.entry.version == version].append(server)
    return parts
