"""A deployment on loopback: entry hosts as processes, and their stand-ins."""

import json
import os
import shlex
import socket
import sys
import tomllib
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from functools import partial
from pathlib import Path
from random import Random

import attrs
import trio

from ebonystream._ids import HostId, ZoneName
from standins.pacedserver import PacedServer
from standins.platformstore import PlatformStore
from standins.storeproxy import StoreProxy

ROOT = Path(__file__).resolve().parents[2]
STORE_NUMBER, FIRST_HOST_NUMBER, FIRST_SERVER_NUMBER = 1, 10, 100
FIRST_PROXY_NUMBER = 200
"""Last parts of the addresses."""

NETWORKS = range(2, 250)
"""Second and third parts of the addresses."""

READY_TIMEOUT_S = 20
OK = 200
READY_CHECK_S = 0.05
METRICS_TIMEOUT_S = 5
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
        metrics: Port of the hosts for their metrics.
    """

    store: int = 21001
    callers: int = 21002
    readiness: int = 21003
    peers: int = 21004
    servers: int = 21006
    metrics: int = 21007


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
        proxies: Proxies to the store, for the hosts that have one.
    """

    folder: Path
    network: str = attrs.field(factory=lambda: choose_network(Random()))
    ports: Ports = attrs.field(factory=Ports)
    bounds: Json = attrs.field(factory=dict)
    limits: Json = attrs.field(factory=dict)
    store: PlatformStore = attrs.field(factory=PlatformStore)
    hosts: list[EntryHost] = attrs.field(factory=list)
    servers: dict[str, PacedServer] = attrs.field(factory=dict)
    proxies: dict[HostId, StoreProxy] = attrs.field(factory=dict)

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

    def add_proxy(self, host: EntryHost) -> StoreProxy:
        """Add a proxy between a host and the store.

        Args:
            host: The host.
        """
        proxy = StoreProxy(
            address=f'{self.network}.{FIRST_PROXY_NUMBER + len(self.proxies)}',
            port=self.ports.store,
            store_address=self.get_store_address(),
        )
        self.proxies[host.name] = proxy
        return proxy

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

    async def read_gauge(self, host: EntryHost, name: str) -> float | None:
        """Read a gauge of a host; None if its page doesn't have it.

        Args:
            host: The host.
            name: Name of the gauge.
        """
        head = 'GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
        page = b''
        with trio.move_on_after(METRICS_TIMEOUT_S):
            page = await _receive(host.address, self.ports.metrics, head)
        for line in page.decode().splitlines():
            metric, _, number = line.rpartition(' ')
            if metric.partition('{')[0] == name:
                return float(number)
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
        proxy = self.proxies.get(host.name)
        store = proxy.address if proxy else self.get_store_address()
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
                'platform': {'address': f'{store}:{ports.store}'},
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
        for proxy in deployment.proxies.values():
            nursery.start_soon(proxy.run)
        async with AsyncExitStack() as stack:
            for host in deployment.hosts:
                await stack.enter_async_context(_run_host(deployment, host))
            yield
        nursery.cancel_scope.cancel()


async def restart_host(deployment: Deployment, host: EntryHost) -> None:
    """Kill a host and start it again; its log is continued.

    Args:
        deployment: The deployment of the host.
        host: The host.
    """
    await _kill_host(host)
    await _start_host(deployment, host)


def read_events(deployment: Deployment, host: EntryHost) -> list[Json]:
    """Read the events that a host has logged.

    Args:
        deployment: The deployment of the host.
        host: The host.
    """
    lines = _get_log(deployment, host).read_text().splitlines()
    return [json.loads(line) for line in lines if line.startswith('{')]


@asynccontextmanager
async def _run_host(
    deployment: Deployment, host: EntryHost
) -> AsyncIterator[None]:
    settings = _get_settings(deployment, host)
    settings.write_text(json.dumps(deployment.make_settings(host)))
    _get_log(deployment, host).unlink(missing_ok=True)
    await _start_host(deployment, host)
    try:
        yield
    finally:
        with trio.CancelScope(shield=True):
            await _kill_host(host)


async def _start_host(deployment: Deployment, host: EntryHost) -> None:
    settings = str(_get_settings(deployment, host))
    port = str(deployment.ports.metrics)
    with _get_log(deployment, host).open('ab') as output:
        host.process = await trio.lowlevel.open_process(
            _read_command(),
            cwd=ROOT,
            env={
                **os.environ,
                'EBONYSTREAM_SETTINGS': settings,
                'EBONYSTREAM_METRICS_PORT': port,
            },
            stdout=output,
        )


async def _kill_host(host: EntryHost) -> None:
    if host.process is None:
        return
    if host.process.poll() is None:
        host.process.kill()
    await host.process.wait()


def _get_settings(deployment: Deployment, host: EntryHost) -> Path:
    return deployment.folder / f'{host.name}.json'


def _get_log(deployment: Deployment, host: EntryHost) -> Path:
    return deployment.folder / f'{host.name}.log'


def _read_command() -> list[str]:
    """Read the command of an entry host; its Python is that of this process."""
    system = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    _, *arguments = shlex.split(system['roles']['entry']['run'])
    return [sys.executable, *arguments]


async def _ask(address: str, port: int, head: str) -> int | None:
    """Send a request; return the status of the response, if there is one."""
    received = await _receive(address, port, head, until=REQUEST_END)
    if REQUEST_END not in received:
        return None
    return int(received.split(b' ', 2)[1])


async def _receive(
    address: str, port: int, head: str, *, until: bytes | None = None
) -> bytes:
    """Send a request; receive until some bytes, or the connection's end."""
    received = b''
    try:
        stream = await trio.open_tcp_stream(address, port)
    except OSError:
        return received
    async with stream:
        # The host may close the connection at any time.
        with suppress(trio.BrokenResourceError):
            await stream.send_all(head.encode())
            while until is None or until not in received:
                data = await stream.receive_some()
                if not data:
                    break
                received += data
    return received
