"""All backend servers that this entry host knows."""

from collections.abc import Iterable

import attrs

from ebonystream._ids import ServerId, ServiceName
from ebonystream.backend._server import BackendServer


@attrs.define
class Directory:
    """The backend servers, by name and by service.

    Attributes:
        servers: Each server under its name.
        by_service: The servers of each service, leaving ones too.
    """

    servers: dict[ServerId, BackendServer] = attrs.field(factory=dict)
    by_service: dict[ServiceName, tuple[BackendServer, ...]] = attrs.field(
        factory=dict
    )

    def list_service(self, service: ServiceName) -> tuple[BackendServer, ...]:
        """Give the servers of a service; none where it is unknown."""
        return self.by_service.get(service, ())

    def replace(self, listed: Iterable[BackendServer]) -> None:
        """Take over a reading of the host list.

        A server that stays keeps what this host has learned of it; one that
        moved to another address, version or zone is a new server.

        Args:
            listed: Every backend server on the list.
        """
        self.servers = {
            new.id: _merge(self.servers.get(new.id), new) for new in listed
        }
        services = {server.service for server in self.servers.values()}
        self.by_service = {service: self._pick(service) for service in services}

    def _pick(self, service: ServiceName) -> tuple[BackendServer, ...]:
        every = self.servers.values()
        return tuple(one for one in every if one.service == service)


def _merge(old: BackendServer | None, new: BackendServer) -> BackendServer:
    if old is None or not _is_same(old, new):
        return new
    old.leaving = new.leaving
    return old


def _is_same(old: BackendServer, new: BackendServer) -> bool:
    same_place = (old.at, old.zone) == (new.at, new.zone)
    return same_place and old.version == new.version
