"""Measures what heartbeats cost one entry host, for several numbers of hosts.

One host runs in this process and its peers in another, on loopback with CURVE.
Reported are frames and bytes in both directions together, processor time of the
whole process with the threads of ZeroMQ, and the growth of its memory.
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
LOAD_COUNTS = (0, 13)
WARM_UP_SECONDS = 4
MEASURED_SECONDS = 8

CURVE_BYTES = 35
"""What ZMTP with CURVE adds to a frame of less than 220 bytes: the head of its
frame, the name and the nonce of the command, the authenticator, and a flag."""

TCP_BYTES = 52
"""The heads of IP and of TCP with time stamps, for each segment."""


@attrs.define
class Traffic:
    """What went over one transport.

    Attributes:
        frames: Frames in both directions.
        size: Their bytes together.
    """

    frames: int = 0
    size: int = 0

    def add(self, frame: bytes) -> None:
        """Count a frame."""
        self.frames += 1
        self.size += len(frame)


def count_traffic(transport: Transport, traffic: Traffic) -> Transport:
    """Count what goes over a transport.

    Args:
        transport: Carries the frames.
        traffic: Counts them.
    """

    def send(host: HostId, sent: bytes) -> None:
        traffic.add(sent)
        transport.send(host, sent)

    async def receive() -> bytes:
        received = await transport.receive()
        traffic.add(received)
        return received

    return attrs.evolve(transport, send=send, receive=receive)


@asynccontextmanager
async def open_transport(
    keys: tuple[bytes, bytes],
) -> AsyncIterator[ZmqTransport]:
    """Listen on a free port of loopback.

    Args:
        keys: The key pair that all hosts share.
    """
    settings = ZmqSettings(
        address=LOOPBACK,
        port=0,
        public_key=keys[0],
        secret_key=keys[1],
        max_message_bytes=MAX_MESSAGE_BYTES,
        connection_timeout=PACE.timeout,
    )
    async with open_zmq_transport(settings) as transport:
        yield transport


def make_host(number: int, loads: int, transport: Transport) -> MemberHost:
    """Make a host that tells of work at some backend servers.

    Args:
        number: Numbers the host.
        loads: How many backend servers it tells of.
        transport: Carries its messages.
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
            ServerLoad(ServerId(f'inspections-{one}'), 1)
            for one in range(loads)
        ),
        zones_in_flight={ZoneName(zone): 4 for zone in ZONES if loads},
    )
    host.links = attrs.evolve(host.links, make_contents=lambda: contents)
    return host


def spell_place(number: int, port: int) -> ListedPeer:
    """Spell where a host listens.

    Args:
        number: Numbers the host.
        port: Its port.
    """
    return ListedPeer(
        host=HostId(f'entry-{number}'),
        address=LOOPBACK,
        port=port,
        zone=ZoneName(ZONES[number % len(ZONES)]),
    )


async def run_peers(count: int, loads: int, port: int, keys: str) -> None:
    """Run the peers of the measured host until this process is stopped.

    Each of them talks with the measured host alone, at the pace that it would
    have among all.

    Args:
        count: How many peers.
        loads: How many backend servers each tells of.
        port: Where the measured host listens.
        keys: The key pair, both spellings with a space between.
    """
    public_key, _, secret_key = keys.partition(' ')
    pair = public_key.encode(), secret_key.encode()
    async with trio.open_nursery() as nursery:
        for number in range(1, count + 1):
            nursery.start_soon(_run_peer, number, count, loads, port, pair)


async def _run_peer(
    number: int, count: int, loads: int, port: int, keys: tuple[bytes, bytes]
) -> None:
    async with open_transport(keys) as transport:
        sys.stdout.write(f'{number} {transport.port}\n')
        sys.stdout.flush()
        host = make_host(number, loads, transport.make_transport())
        membership = host.membership
        membership.base_timing = scale_timing(
            PACE, peers=count, heartbeats_per_second=HEARTBEATS_PER_SECOND
        )
        membership.apply_host_list([spell_place(0, port)], Monotonic(0))
        await host.run()


@attrs.frozen(kw_only=True)
class Cost:
    """What heartbeats cost one host.

    Attributes:
        hosts: How many hosts there are.
        loads: How many backend servers each tells of.
        frames: Frames a second, in both directions together.
        bytes: Bytes of these frames a second.
        connection_bytes: The same with what ZMTP and CURVE add.
        network_bytes: The same with the heads of TCP and IP, without the
            segments that only acknowledge.
        core_percent: Processor time, in percent of a core.
        memory_mb: Growth of the resident memory, in MB.
        reachable: Peers that were reachable at the end.
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


async def measure(hosts: int, loads: int) -> Cost:
    """Measure one host among others.

    Args:
        hosts: How many hosts there are.
        loads: How many backend servers each tells of.
    """
    keys = zmq.curve_keypair()
    process = psutil.Process()
    memory = process.memory_info().rss
    traffic = Traffic()
    async with (
        open_transport(keys) as transport,
        trio.open_nursery() as nursery,
    ):
        counted = count_traffic(transport.make_transport(), traffic)
        host = make_host(0, loads, counted)
        peers = _start_peers(hosts - 1, loads, transport.port, keys)
        try:
            places = [spell_place(*_read_line(peers)) for _ in range(hosts - 1)]
            host.membership.apply_host_list(
                places, Monotonic(trio.current_time())
            )
            nursery.start_soon(host.run)
            await trio.sleep(WARM_UP_SECONDS)
            cost = await _measure_for(MEASURED_SECONDS, traffic)
        finally:
            peers.kill()
        nursery.cancel_scope.cancel()
    members = host.membership.table.list_members()
    grown = process.memory_info().rss - memory
    return attrs.evolve(
        cost,
        hosts=hosts,
        loads=loads,
        memory_mb=grown / 2**20,
        reachable=sum(one.state is MemberState.REACHABLE for one in members),
    )


def _start_peers(
    count: int, loads: int, port: int, keys: tuple[bytes, bytes]
) -> subprocess.Popen[str]:
    spelled = f'{keys[0].decode()} {keys[1].decode()}'
    arguments = ('peers', str(count), str(loads), str(port), '--', spelled)
    return subprocess.Popen(
        [sys.executable, '-m', 'standins.heartbeats', *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )


def _read_line(peers: subprocess.Popen[str]) -> tuple[int, int]:
    assert peers.stdout is not None
    number, port = peers.stdout.readline().split()
    return int(number), int(port)


async def _measure_for(length: float, traffic: Traffic) -> Cost:
    frames, size = traffic.frames, traffic.size
    used, began = time.process_time(), time.monotonic()
    await trio.sleep(length)
    took = Seconds(time.monotonic() - began)
    per_second = (traffic.frames - frames) / took
    payload = (traffic.size - size) / took
    return Cost(
        hosts=0,
        loads=0,
        frames=per_second,
        bytes=payload,
        connection_bytes=payload + per_second * CURVE_BYTES,
        network_bytes=payload + per_second * (CURVE_BYTES + TCP_BYTES),
        core_percent=100 * (time.process_time() - used) / took,
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
    for loads in LOAD_COUNTS:
        for hosts in HOST_COUNTS:
            row = attrs.asdict(trio.run(measure, hosts, loads))
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
