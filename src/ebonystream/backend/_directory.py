"""The backend servers that this entry host knows."""

from collections.abc import Iterable

import attrs

from ebonystream._ids import Monotonic, ServerId, ServiceName
from ebonystream.backend._server import BackendServer

MAX_PAST_EPOCHS = 1024
"""Upper bound on the unlisted servers whose epochs are kept; the oldest one is
evicted."""

CLOCK_START = Monotonic(0)


@attrs.define
class Directory:
    """The backend servers, by name and by service.

    Attributes:
        servers: The servers by name.
        by_service: The servers of each service, including leaving ones.
        past_epochs: The last epoch of each server that left the host list, so
            that a server that returns starts in a later epoch.
    """

    servers: dict[ServerId, BackendServer] = attrs.field(factory=dict)
    by_service: dict[ServiceName, tuple[BackendServer, ...]] = attrs.field(
        factory=dict
    )
    past_epochs: dict[ServerId, int] = attrs.field(factory=dict)

    def list_servers(self, service: ServiceName) -> tuple[BackendServer, ...]:
        """Return the servers of a service; empty if it is unknown."""
        return self.by_service.get(service, ())

    def replace(
        self, listed: Iterable[BackendServer], now: Monotonic = CLOCK_START
    ) -> None:
        """Update the servers from a newly read host list.

        A server that is still listed keeps its state, unless its address,
        version or zone has changed: it is then a new server. New servers, and
        servers that are no longer leaving, are cold.

        Args:
            listed: All backend servers on the list.
            now: Current time of the monotonic clock, in seconds.
        """
        known = self.servers
        self.servers = {new.id: self._merge(new, now) for new in listed}
        for removed in known.keys() - self.servers.keys():
            self._keep_epoch(known[removed])
        services = {server.service for server in self.servers.values()}
        self.by_service = {
            service: self._select_service(service) for service in services
        }

    def _select_service(
        self, service: ServiceName
    ) -> tuple[BackendServer, ...]:
        servers = self.servers.values()
        return tuple(server for server in servers if server.service == service)

    def _merge(self, new: BackendServer, now: Monotonic) -> BackendServer:
        old = self.servers.get(new.id)
        if old is not None and _is_same(old, new):
            _update_leaving(old, leaving=new.leaving, now=now)
            return old
        past_epoch = self.past_epochs.pop(new.id, None)
        if old is not None:
            past_epoch = old.lifecycle.epoch
        if past_epoch is not None:
            new.lifecycle.epoch = past_epoch
            new.lifecycle.begin_epoch(now)
        _update_leaving(new, leaving=new.leaving, now=now)
        return new

    def _keep_epoch(self, removed: BackendServer) -> None:
        self.past_epochs[removed.id] = removed.lifecycle.epoch
        while len(self.past_epochs) > MAX_PAST_EPOCHS:
            self.past_epochs.pop(next(iter(self.past_epochs)))


def _update_leaving(
    server: BackendServer, *, leaving: bool, now: Monotonic
) -> None:
    if leaving and server.leaving_since is None:
        server.leaving_since = now
    if not leaving and server.leaving_since is not None:
        server.leaving_since = None
        server.lifecycle.begin_epoch(now)
    server.leaving = leaving


def _is_same(old: BackendServer, new: BackendServer) -> bool:
    same_place = (old.at, old.zone) == (new.at, new.zone)
    return same_place and old.version == new.version
