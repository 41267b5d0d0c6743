"""Lays out a small system on loopback: its hosts, servers and ports."""

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
"""Below the ports that the operating system hands out itself."""

LAST_PORT = 30_000
FIRST_VERSION = 'v1'


@attrs.frozen(kw_only=True)
class Service:
    """One service of the system.

    Attributes:
        name: Names the service.
        per_zone: How many backend servers it has in each zone.
        built: How each of them is built, but for its name and port.
        version: The version that each of them runs.
    """

    name: str
    per_zone: int
    built: ServerSettings
    version: str = FIRST_VERSION

    @property
    def stem(self) -> str:
        """Begins the names of its backend servers."""
        if self.version == FIRST_VERSION:
            return self.name
        return f'{self.name}-{self.version}'


@attrs.frozen(kw_only=True)
class EntryHost:
    """One entry host.

    Attributes:
        name: Names the host.
        zone: Its availability zone.
        caller_port: Where callers connect.
        peer_port: Where its peers reach it.
        admin_port: Where operators reach it.
    """

    name: str
    zone: str
    caller_port: int
    peer_port: int
    admin_port: int

    @property
    def admin(self) -> str:
        """The base address of its administration API."""
        return f'http://{LOOPBACK}:{self.admin_port}'


@attrs.frozen(kw_only=True)
class Backend:
    """One backend server and where it stands.

    Attributes:
        service: What it serves.
        zone: Its availability zone.
        built: How it is built.
        version: The version that it runs.
    """

    service: str
    zone: str
    built: ServerSettings
    version: str


@attrs.frozen(kw_only=True)
class Cluster:
    """Everything that runs, with its ports.

    Attributes:
        directory: Where settings and log files go.
        log_port: The port of the log service.
        hosts_port: The port of the host list.
        control_ports: The control port of each zone's backend servers.
        backends: The backend servers.
        entries: The entry hosts.
        limits: How the entry hosts use the backend servers.
    """

    directory: Path
    log_port: int
    hosts_port: int
    control_ports: dict[str, int]
    backends: tuple[Backend, ...]
    entries: tuple[EntryHost, ...]
    limits: BackendSettings


def lay_out(
    directory: Path,
    *,
    zones: Sequence[str],
    services: Sequence[Service],
    limits: BackendSettings,
) -> Cluster:
    """Choose names and ports: one entry host in each zone.

    Args:
        directory: Where settings and log files go.
        zones: The availability zones.
        services: The services.
        limits: How the entry hosts use the backend servers.
    """
    ports = _find_ports()
    return Cluster(
        directory=directory,
        log_port=next(ports),
        hosts_port=next(ports),
        control_ports={zone: next(ports) for zone in zones},
        backends=tuple(_place(zones, services, ports)),
        entries=tuple(_make_entry(zone, ports) for zone in zones),
        limits=limits,
    )


def _find_ports() -> Iterator[int]:
    # Two launchers that start together begin at ports far apart.
    begin = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
    for port in (*range(begin, LAST_PORT), *range(FIRST_PORT, begin)):
        with socket.socket() as trial:
            trial.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            free = _is_free(trial, port)
        if free:
            yield port


def _is_free(trial: socket.socket, port: int) -> bool:
    try:
        trial.bind((LOOPBACK, port))
    except OSError:
        return False
    return True


def _make_entry(zone: str, ports: Iterator[int]) -> EntryHost:
    return EntryHost(
        name=f'entry-{zone}',
        zone=zone,
        caller_port=next(ports),
        peer_port=next(ports),
        admin_port=next(ports),
    )


def _place(
    zones: Sequence[str],
    services: Sequence[Service],
    ports: Iterator[int],
) -> Iterator[Backend]:
    for zone in zones:
        for service in services:
            for number in range(1, service.per_zone + 1):
                name = f'{service.stem}-{zone}-{number}'
                built = msgspec.structs.replace(
                    service.built,
                    name=name,
                    port=next(ports),
                )
                yield Backend(
                    service=service.name,
                    zone=zone,
                    built=built,
                    version=service.version,
                )
