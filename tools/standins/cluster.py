"""Names and ports of a small system on loopback."""

import random
import socket
from collections.abc import Iterator, Sequence
from pathlib import Path

import attrs
import msgspec

from ebonystream.settings import BackendSettings
from standins.backendserver import ServerSettings

LOOPBACK = '127.0.0.1'
FIRST_PORT = 20_000
"""Below the range from which the operating system assigns ports."""

LAST_PORT = 30_000
FIRST_VERSION = 'v1'


@attrs.frozen(kw_only=True)
class Service:
    """A service of the system.

    Attributes:
        name: The service name.
        servers_per_zone: Number of backend servers in each zone.
        server_settings: Settings of each backend server except for its name
            and port.
        version: The version that the backend servers run.
    """

    name: str
    servers_per_zone: int
    server_settings: ServerSettings
    version: str = FIRST_VERSION

    @property
    def server_name_prefix(self) -> str:
        """The prefix of the names of its backend servers."""
        if self.version == FIRST_VERSION:
            return self.name
        return f'{self.name}-{self.version}'


@attrs.frozen(kw_only=True)
class EntryHost:
    """An entry host.

    Attributes:
        name: The host name.
        zone: The availability zone.
        caller_port: The port for customers.
        peer_port: The port for other entry hosts.
        admin_port: The port of the administration API.
    """

    name: str
    zone: str
    caller_port: int
    peer_port: int
    admin_port: int

    @property
    def admin_url(self) -> str:
        """The base URL of the administration API."""
        return f'http://{LOOPBACK}:{self.admin_port}'


@attrs.frozen(kw_only=True)
class Backend:
    """A backend server with its service, zone and version.

    Attributes:
        service: The service name.
        zone: The availability zone.
        settings: The settings of the backend server.
        version: The version of the service.
    """

    service: str
    zone: str
    settings: ServerSettings
    version: str


@attrs.frozen(kw_only=True)
class Cluster:
    """All processes of a system and their ports.

    Attributes:
        directory: Directory for settings and log files.
        log_port: The port of the log service.
        host_list_port: The port of the host list.
        control_ports: Control port of the backend server process by zone.
        backends: The backend servers.
        entry_hosts: The entry hosts.
        backend_settings: Settings of entry hosts for using backend servers.
    """

    directory: Path
    log_port: int
    host_list_port: int
    control_ports: dict[str, int]
    backends: tuple[Backend, ...]
    entry_hosts: tuple[EntryHost, ...]
    backend_settings: BackendSettings


def make_cluster(
    directory: Path,
    *,
    zones: Sequence[str],
    services: Sequence[Service],
    backend_settings: BackendSettings,
) -> Cluster:
    """Assign names and free ports, with one entry host in each zone.

    Args:
        directory: Directory for settings and log files.
        zones: The availability zones.
        services: The services.
        backend_settings: Settings of entry hosts for using backend servers.
    """
    ports = _iterate_free_ports()
    return Cluster(
        directory=directory,
        log_port=next(ports),
        host_list_port=next(ports),
        control_ports={zone: next(ports) for zone in zones},
        backends=tuple(_make_backends(zones, services, ports)),
        entry_hosts=tuple(_make_entry_host(zone, ports) for zone in zones),
        backend_settings=backend_settings,
    )


def _iterate_free_ports() -> Iterator[int]:
    # A random first port keeps launchers that start at the same time apart.
    start = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
    for port in (*range(start, LAST_PORT), *range(FIRST_PORT, start)):
        with socket.socket() as test_socket:
            test_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            free = _can_bind(test_socket, port)
        if free:
            yield port


def _can_bind(test_socket: socket.socket, port: int) -> bool:
    try:
        test_socket.bind((LOOPBACK, port))
    except OSError:
        return False
    return True


def _make_entry_host(zone: str, ports: Iterator[int]) -> EntryHost:
    return EntryHost(
        name=f'entry-{zone}',
        zone=zone,
        caller_port=next(ports),
        peer_port=next(ports),
        admin_port=next(ports),
    )


def _make_backends(
    zones: Sequence[str],
    services: Sequence[Service],
    ports: Iterator[int],
) -> Iterator[Backend]:
    for zone in zones:
        for service in services:
            for number in range(1, service.servers_per_zone + 1):
                name = f'{service.server_name_prefix}-{zone}-{number}'
                settings = msgspec.structs.replace(
                    service.server_settings,
                    name=name,
                    port=next(ports),
                )
                yield Backend(
                    service=service.name,
                    zone=zone,
                    settings=settings,
                    version=service.version,
                )
