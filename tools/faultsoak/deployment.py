"""A deployment on loopback: entry hosts as processes, and their stand-ins."""

import json
import os
import shlex
import socket
import sys
import tomllib
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from pathlib import Path
from random import Random

import attrs
import trio

from ebonystream._ids import HostId, ZoneName
from standins.pacedserver import PacedServer
from standins.platformstore import PlatformStore

ROOT = Path(__file__).resolve().parents[2]
STORE_NUMBER, FIRST_HOST_NUMBER, FIRST_SERVER_NUMBER = 1, 10, 100
"""Last parts of the addresses."""

NETWORKS = range(2, 250)
"""Second and third parts of the addresses."""

READY_TIMEOUT_S = 20
OK = 200
READY_CHECK_S = 0.05
REQUEST_END = b'\r\n\r\n'

Json = Mapping[str, object]


@attrs.frozen(kw_only=True)
class Ports:
    """Ports that all programs of a deployment use, on addresses of their own.

    Attributes:
        store: Port of the store.
        callers: Port of the hosts for callers.
        readiness: Port of the hosts for readiness checks.
        peers: First of the two ports of the hosts for one another.
        servers: Port of the servers.
    """

    store: int = 21001
    callers: int = 21002
    readiness: int = 21003
    peers: int = 21004
    servers: int = 21006


def choose_network(random: Random) -> str:
    """Choose a network of loopback addresses that no other run uses.

    Args:
        random: Source of random numbers.
    """
    while True:
        network = f'127.{random.choice(NETWORKS)}.{random.choice(NETWORKS)}'
        with socket.socket() as probe:
            try:
                probe.bind((f'{network}.{STORE_NUMBER}', Ports().store))
            except OSError:
                continue
        return network


@attrs.define(kw_only=True)
class EntryHost:
    """One entry host.

    Attributes:
        name: Name of the host.
        zone: Its availability zone.
        address: Its address.
        process: Its process; None before the start.
    """

    name: HostId
    zone: ZoneName
    address: str
    process: trio.Process | None = None


@attrs.define(kw_only=True)
class Deployment:
    """Entry hosts with the stand-ins of their store and servers.

    Attributes:
        folder: Folder for settings and logs.
        network: First three parts of all addresses.
        ports: Ports of the programs.
        bounds: Bounds in the settings of the hosts.
        limits: Limits of the machine in the settings of the hosts, such as
            `memory_mb` and `max_fds`.
        store: The store.
        hosts: The entry hosts.
        servers: The servers with their addresses.
    """

    folder: Path
    network: str = attrs.field(factory=lambda: choose_network(Random()))
    ports: Ports = attrs.field(factory=Ports)
    bounds: Json = attrs.field(factory=dict)
    limits: Json = attrs.field(factory=dict)
    store: PlatformStore = attrs.field(factory=PlatformStore)
    hosts: list[EntryHost] = attrs.field(factory=list)
    servers: dict[str, PacedServer] = attrs.field(factory=dict)

    def add_host(self, zone: ZoneName) -> EntryHost:
        """Add an entry host, which starts with the deployment.

        Args:
            zone: Its availability zone.
        """
        number = FIRST_HOST_NUMBER + len(self.hosts)
        host = EntryHost(
            name=HostId(f'edge-{zone}-{number}'),
            zone=zone,
            address=f'{self.network}.{number}',
        )
        self.hosts.append(host)
        return host

    def add_server(self, server: PacedServer) -> None:
        """Add a server, which listens from the start of the deployment on.

        Args:
            server: The server.
        """
        number = FIRST_SERVER_NUMBER + len(self.servers)
        self.servers[f'{self.network}.{number}'] = server

    def get_store_address(self) -> str:
        """Return the address of the store."""
        return f'{self.network}.{STORE_NUMBER}'

    def register(self, service: str, zone: ZoneName) -> None:
        """Write the entries of all servers to the store.

        Args:
            service: Their service.
            zone: Their availability zone.
        """
        for address, server in self.servers.items():
            entry = {
                'service': service,
                'address': f'{address}:{self.ports.servers}',
                'zone': zone,
                'version': 'v1',
                'slots': server.slots,
                'state': 'ready',
                'cold_remaining': f'{server.get_cold_ms()}ms',
                'sequence': 1,
            }
            self.store.put('keyed.servers', server.name, entry)

    async def request(
        self, host: EntryHost, attempt: str, target: str, deadline_ms: int
    ) -> int | None:
        """Send one request on a new connection.

        Args:
            host: The host that gets it.
            attempt: Its id.
            target: Its target.
            deadline_ms: Time that its caller waits, in milliseconds.

        Returns:
            The status; None if the connection ended without a response.
        """
        head = (
            f'GET {target} HTTP/1.1\r\nHost: shop.example\r\n'
            f'Ebonystream-Attempt-Id: {attempt}\r\n'
            f'Ebonystream-Deadline-Ms: {deadline_ms}\r\n'
            'Connection: close\r\n\r\n'
        )
        with trio.move_on_after(deadline_ms / 1000):
            return await _ask(host.address, self.ports.callers, head)
        return None

    async def wait_ready(self) -> None:
        """Wait until all hosts are ready."""
        head = 'GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n'
        with trio.fail_after(READY_TIMEOUT_S):
            for host in self.hosts:
                status: int | None = None
                while status != OK:
                    await trio.sleep(READY_CHECK_S)
                    status = await _ask(
                        host.address, self.ports.readiness, head
                    )

    def make_settings(self, host: EntryHost) -> Json:
        """Make the settings of a host.

        Args:
            host: The host.
        """
        ports, address = self.ports, host.address
        seeds = [f'{each.address}:{ports.peers}' for each in self.hosts[:1]]
        return {
            'local': {
                'node_name': host.name,
                'zone': host.zone,
                'ip': address,
                'limits': self.limits,
            },
            'network': {
                'listen': {
                    'front': f'{address}:{ports.callers}',
                    'ready': f'{address}:{ports.readiness}',
                },
                'internal_ports': [ports.peers, ports.peers + 1],
                'seeds': seeds,
            },
            'platform': {
                'heartbeat': '1500ms',
                'platform': {
                    'address': f'{self.get_store_address()}:{ports.store}'
                },
            },
            'terms': {'bounds': self.bounds},
        }


@asynccontextmanager
async def run_deployment(deployment: Deployment) -> AsyncIterator[None]:
    """Run a deployment; all that it started ends with the context.

    Args:
        deployment: The deployment.
    """
    ports = deployment.ports
    async with trio.open_nursery() as nursery:
        listen = partial(trio.serve_tcp, host=deployment.get_store_address())
        await nursery.start(listen, deployment.store.serve, ports.store)
        for address, server in deployment.servers.items():
            listen = partial(trio.serve_tcp, host=address)
            await nursery.start(listen, server.serve, ports.servers)
        async with AsyncExitStack() as stack:
            for host in deployment.hosts:
                await stack.enter_async_context(_run_host(deployment, host))
            yield
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def _run_host(
    deployment: Deployment, host: EntryHost
) -> AsyncIterator[None]:
    settings = deployment.folder / f'{host.name}.json'
    settings.write_text(json.dumps(deployment.make_settings(host)))
    with (deployment.folder / f'{host.name}.log').open('wb') as output:
        host.process = await trio.lowlevel.open_process(
            _read_command(),
            cwd=ROOT,
            env={**os.environ, 'EBONYSTREAM_SETTINGS': str(settings)},
            stdout=output,
        )
    try:
        yield
    finally:
        if host.process.poll() is None:
            host.process.kill()
        with trio.CancelScope(shield=True):
            await host.process.wait()


def _read_command() -> list[str]:
    """Read the command of an entry host; its Python is that of this process."""
    system = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    _, *arguments = shlex.split(system['roles']['entry']['run'])
    return [sys.executable, *arguments]


async def _ask(address: str, port: int, head: str) -> int | None:
    """Send a request; return the status of the response, if there is one."""
    try:
        stream = await trio.open_tcp_stream(address, port)
    except OSError:
        return None
    received = b''
    async with stream:
        try:
            await stream.send_all(head.encode())
            while REQUEST_END not in received:
                data = await stream.receive_some()
                if not data:
                    return None
                received += data
        except trio.BrokenResourceError:
            return None
    return int(received.split(b' ', 2)[1])
