"""All backend servers that this entry host knows."""

from collections.abc import Iterable

import attrs

from ebonystream._ids import Monotonic, ServerId, ServiceName
from ebonystream.backend._server import BackendServer

REMEMBERED_SERVERS = 1024
"""Servers that left the list whose epochs are remembered."""

START = Monotonic(0)


@attrs.define
class Directory:
    """The backend servers, by name and by service.

    Attributes:
        servers: Each server under its name.
        by_service: The servers of each service, leaving ones too.
        past_epochs: The epoch of each server that left the list, so that one
            that returns begins a later epoch.
    """

    servers: dict[ServerId, BackendServer] = attrs.field(factory=dict)
    by_service: dict[ServiceName, tuple[BackendServer, ...]] = attrs.field(
        factory=dict
    )
    past_epochs: dict[ServerId, int] = attrs.field(factory=dict)

    def list_service(self, service: ServiceName) -> tuple[BackendServer, ...]:
        """Give the servers of a service; none where it is unknown."""
        return self.by_service.get(service, ())

    def replace(
        self, listed: Iterable[BackendServer], now: Monotonic = START
    ) -> None:
        """Take over a reading of the host list.

        A server that stays keeps what this host has learned of it; one that
        moved to another address, version or zone is a new server. New servers
        and those that leave no longer are cold.

        Args:
            listed: Every backend server on the list.
            now: The present time.
        """
        known = self.servers
        self.servers = {new.id: self._merge(new, now) for new in listed}
        for gone in known.keys() - self.servers.keys():
            self._remember(known[gone])
        services = {server.service for server in self.servers.values()}
        self.by_service = {service: self._pick(service) for service in services}

    def _pick(self, service: ServiceName) -> tuple[BackendServer, ...]:
        every = self.servers.values()
        return tuple(one for one in every if one.service == service)

    def _merge(self, new: BackendServer, now: Monotonic) -> BackendServer:
        old = self.servers.get(new.id)
        if old is not None and _is_same(old, new):
            _note_leaving(old, leaving=new.leaving, now=now)
            return old
        past = self.past_epochs.pop(new.id, None)
        if old is not None:
            past = old.warmth.epoch
        if past is not None:
            new.warmth.epoch = past
            new.warmth.renew(now)
        _note_leaving(new, leaving=new.leaving, now=now)
        return new

    def _remember(self, gone: BackendServer) -> None:
        self.past_epochs[gone.id] = gone.warmth.epoch
        while len(self.past_epochs) > REMEMBERED_SERVERS:
            self.past_epochs.pop(next(iter(self.past_epochs)))


def _note_leaving(
    server: BackendServer, *, leaving: bool, now: Monotonic
) -> None:
    if leaving and server.leaving_since is None:
        server.leaving_since = now
    if not leaving and server.leaving_since is not None:
        server.leaving_since = None
        server.warmth.renew(now)
    server.leaving = leaving


def _is_same(old: BackendServer, new: BackendServer) -> bool:
    same_place = (old.at, old.zone) == (new.at, new.zone)
    return same_place and old.version == new.version
