"""Measures the cost of heartbeats to one entry host, by number of hosts.

The measured host runs in this process and its peers in another, connected over
loopback with CURVE. Reported are frames and bytes (both directions together),
the processor time of the whole process including the threads of ZeroMQ, and the
growth of its memory.
"""

import json
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from typing import Annotated

import attrs
import psutil
import trio
import typer
import zmq

from ebonystream._ids import (
    HostId,
    Incarnation,
    Monotonic,
    Offset,
    Seconds,
    ServerId,
    ZoneName,
)
from ebonystream.membership import (
    HeartbeatContents,
    ListedPeer,
    MemberState,
    scale_timing,
)
from ebonystream.peer import (
    ServerLoad,
    Transport,
    ZmqSettings,
    ZmqTransport,
    open_zmq_transport,
)
from standins.members import (
    HEARTBEATS_PER_SECOND,
    MAX_MESSAGE_BYTES,
    PACE,
    MemberHost,
    make_member_host,
)

LOOPBACK = '127.0.0.1'
ZONES = ('ch-central-a', 'ch-central-b', 'ch-central-c')
OWN = HostId('entry-0')

HOST_COUNTS = (4, 13, 17, 64)
SERVER_COUNTS = (0, 13)
WARM_UP_SECONDS = 4
MEASURED_SECONDS = 8

CURVE_OVERHEAD_BYTES = 35
"""Overhead of ZMTP with CURVE per frame of less than 220 bytes: frame header,
command name and nonce, authenticator, and flags."""

TCP_HEADER_BYTES = 52
"""Headers of IP and of TCP with timestamps, per segment."""


@attrs.define
class Traffic:
    """Traffic of one transport, both directions together.

    Attributes:
        frames: Number of frames.
        size: Total size of the frames, in bytes.
    """

    frames: int = 0
    size: int = 0

    def add(self, frame: bytes) -> None:
        """Count one frame."""
        self.frames += 1
        self.size += len(frame)


def count_traffic(transport: Transport, traffic: Traffic) -> Transport:
    """Return the transport, extended to count its frames.

    Args:
        transport: Sends and receives the frames.
        traffic: Counters to update.
    """

    def send(host: HostId, frame: bytes) -> None:
        traffic.add(frame)
        transport.send(host, frame)

    async def receive() -> bytes:
        frame = await transport.receive()
        traffic.add(frame)
        return frame

    return attrs.evolve(transport, send=send, receive=receive)


@asynccontextmanager
async def open_transport(
    key_pair: tuple[bytes, bytes],
) -> AsyncIterator[ZmqTransport]:
    """Open a transport that listens on a free port of loopback.

    Args:
        key_pair: Public and secret CURVE key, shared by all hosts.
    """
    settings = ZmqSettings(
        address=LOOPBACK,
        port=0,
        public_key=key_pair[0],
        secret_key=key_pair[1],
        max_message_bytes=MAX_MESSAGE_BYTES,
        connection_timeout=PACE.timeout,
    )
    async with open_zmq_transport(settings) as transport:
        yield transport


def make_host(
    number: int, server_count: int, transport: Transport
) -> MemberHost:
    """Make a host that reports its load on some backend servers.

    Args:
        number: Number of the host.
        server_count: Number of backend servers in each of its heartbeats.
        transport: Sends and receives its messages.
    """
    host = make_member_host(
        HostId(f'entry-{number}'),
        Incarnation(f'{number:012}'),
        transport,
        Random(number),
    )
    contents = HeartbeatContents(
        control_next=Offset(12_000),
        keys_next=Offset(240_000),
        loads=tuple(
            ServerLoad(ServerId(f'inspections-{index}'), 1)
            for index in range(server_count)
        ),
        zones_in_flight={ZoneName(zone): 4 for zone in ZONES if server_count},
    )
    host.links = attrs.evolve(host.links, make_contents=lambda: contents)
    return host


def make_listed_peer(number: int, port: int) -> ListedPeer:
    """Make the host-list entry of a host.

    Args:
        number: Number of the host.
        port: Port on which the host listens.
    """
    return ListedPeer(
        host=HostId(f'entry-{number}'),
        address=LOOPBACK,
        port=port,
        zone=ZoneName(ZONES[number % len(ZONES)]),
    )


async def run_peers(
    count: int, server_count: int, port: int, keys: str
) -> None:
    """Run the peers of the measured host until this process is stopped.

    Each peer exchanges heartbeats with the measured host only, but at the rate
    that applies among all hosts.

    Args:
        count: Number of peers.
        server_count: Number of backend servers in each heartbeat of a peer.
        port: Port on which the measured host listens.
        keys: Public and secret key, separated by a space.
    """
    public_key, _, secret_key = keys.partition(' ')
    pair = public_key.encode(), secret_key.encode()
    async with trio.open_nursery() as nursery:
        for number in range(1, count + 1):
            nursery.start_soon(
                _run_peer, number, count, server_count, port, pair
            )


async def _run_peer(
    number: int,
    count: int,
    server_count: int,
    port: int,
    key_pair: tuple[bytes, bytes],
) -> None:
    async with open_transport(key_pair) as transport:
        sys.stdout.write(f'{number} {transport.port}\n')
        sys.stdout.flush()
        host = make_host(number, server_count, transport.make_transport())
        membership = host.membership
        membership.base_timing = scale_timing(
            PACE, peers=count, heartbeats_per_second=HEARTBEATS_PER_SECOND
        )
        membership.apply_host_list([make_listed_peer(0, port)], Monotonic(0))
        await host.run()


@attrs.frozen(kw_only=True)
class Cost:
    """Cost of heartbeats to one host.

    Attributes:
        hosts: Number of hosts.
        loads: Number of backend servers in each heartbeat.
        frames: Frames per second, both directions together.
        bytes: Bytes of these frames per second.
        connection_bytes: `bytes` plus the overhead of ZMTP and CURVE.
        network_bytes: `connection_bytes` plus the headers of TCP and IP,
            without segments that only acknowledge.
        core_percent: Processor time, in percent of one core.
        memory_mb: Growth of the resident memory, in MB.
        reachable: Number of peers that were reachable at the end.
    """

    hosts: int
    loads: int
    frames: float
    bytes: float
    connection_bytes: float
    network_bytes: float
    core_percent: float
    memory_mb: float
    reachable: int


async def measure(hosts: int, server_count: int) -> Cost:
    """Measure the cost of heartbeats to one host.

    Args:
        hosts: Number of hosts, including the measured one.
        server_count: Number of backend servers in each heartbeat.
    """
    key_pair = zmq.curve_keypair()
    process = psutil.Process()
    initial_memory = process.memory_info().rss
    traffic = Traffic()
    async with (
        open_transport(key_pair) as transport,
        trio.open_nursery() as nursery,
    ):
        counted = count_traffic(transport.make_transport(), traffic)
        host = make_host(0, server_count, counted)
        peers = _start_peers(hosts - 1, server_count, transport.port, key_pair)
        try:
            listed_peers = [
                make_listed_peer(*_read_peer_port(peers))
                for _ in range(hosts - 1)
            ]
            host.membership.apply_host_list(
                listed_peers, Monotonic(trio.current_time())
            )
            nursery.start_soon(host.run)
            await trio.sleep(WARM_UP_SECONDS)
            cost = await _measure_interval(MEASURED_SECONDS, traffic)
        finally:
            peers.kill()
        nursery.cancel_scope.cancel()
    members = host.membership.table.list_members()
    growth = process.memory_info().rss - initial_memory
    return attrs.evolve(
        cost,
        hosts=hosts,
        loads=server_count,
        memory_mb=growth / 2**20,
        reachable=sum(
            member.state is MemberState.REACHABLE for member in members
        ),
    )


def _start_peers(
    count: int, server_count: int, port: int, key_pair: tuple[bytes, bytes]
) -> subprocess.Popen[str]:
    keys = f'{key_pair[0].decode()} {key_pair[1].decode()}'
    arguments = ('peers', str(count), str(server_count), str(port), '--', keys)
    return subprocess.Popen(
        [sys.executable, '-m', 'standins.heartbeats', *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )


def _read_peer_port(peers: subprocess.Popen[str]) -> tuple[int, int]:
    """Return the number and the port of the next peer that listens."""
    assert peers.stdout is not None
    number, port = peers.stdout.readline().split()
    return int(number), int(port)


async def _measure_interval(seconds: float, traffic: Traffic) -> Cost:
    frames, size = traffic.frames, traffic.size
    processor_time, started_at = time.process_time(), time.monotonic()
    await trio.sleep(seconds)
    elapsed = Seconds(time.monotonic() - started_at)
    per_second = (traffic.frames - frames) / elapsed
    payload = (traffic.size - size) / elapsed
    return Cost(
        hosts=0,
        loads=0,
        frames=per_second,
        bytes=payload,
        connection_bytes=payload + per_second * CURVE_OVERHEAD_BYTES,
        network_bytes=payload
        + per_second * (CURVE_OVERHEAD_BYTES + TCP_HEADER_BYTES),
        core_percent=100 * (time.process_time() - processor_time) / elapsed,
        memory_mb=0,
        reachable=0,
    )


app = typer.Typer()


@app.command()
def run() -> None:
    """Measure and report; the last line is one JSON object."""
    columns = [field.name for field in attrs.fields(Cost)]
    typer.echo('  '.join(f'{name:>16}' for name in columns))
    rows = []
    for server_count in SERVER_COUNTS:
        for hosts in HOST_COUNTS:
            row = attrs.asdict(trio.run(measure, hosts, server_count))
            rows.append(row)
            typer.echo('  '.join(f'{cell:>16.4g}' for cell in row.values()))
    typer.echo(json.dumps({'heartbeats': rows}))


@app.command()
def peers(
    count: int, loads: int, port: int, keys: Annotated[str, typer.Argument()]
) -> None:
    """Run the peers of a measured host."""
    trio.run(run_peers, count, loads, port, keys)


if __name__ == '__main__':
    app()
