"""What one call costs the entry hosts, in processor time."""

import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
import trio
from uuid6 import uuid7

from ebonystream.settings import BackendSettings
from slopes.fit import Line, fit_line
from slopes.idle import CPU
from slopes.scrape import read_figures
from standins.backendserver import ServerSettings
from standins.client import Client, connect, fetch
from standins.cluster import LOOPBACK, Cluster, Service, make_cluster
from standins.demoplan import make_lists
from standins.operation import publish, wait_for_configuration
from standins.startup import start_cluster

ZONES = ('zone-a', 'zone-b', 'zone-c')
CALL_COUNTS = (500, 1000, 2000, 4000)
SETTLE_SECONDS = 4
WARM_UP_CALLS = 300
US_PER_SECOND = 1_000_000
MANY_SLOTS = 64
FAST = ServerSettings(name='', port=0, default_mean_ms=0, slots=MANY_SLOTS)
SERVICES = (
    Service(name='inspections', servers_per_zone=1, server_settings=FAST),
    Service(name='bookings', servers_per_zone=1, server_settings=FAST),
)

SendOne = Callable[[Client], Awaitable[None]]
"""Sends one call and takes its answer."""


class Issued(msgspec.Struct):
    """A fresh key of an entry host.

    Attributes:
        key: The key.
    """

    key: str


async def measure_calls() -> list[Line]:
    """Measure lookups, and bookings at their owner and forwarded."""
    with tempfile.TemporaryDirectory(prefix='ebonystream-') as directory:
        cluster = make_cluster(
            Path(directory),
            zones=ZONES,
            services=SERVICES,
            backend_settings=BackendSettings(slots=MANY_SLOTS),
        )
        async with trio.open_nursery() as nursery:
            await start_cluster(nursery, cluster)
            await publish(cluster, make_lists())
            await wait_for_configuration(cluster, 1)
            await trio.sleep(SETTLE_SECONDS)
            lines = [
                await _measure('lookup', cluster, _look_up),
                await _measure('booking at its owner', cluster, _book_here),
                await _measure('booking anywhere', cluster, _book_anywhere),
            ]
            nursery.cancel_scope.cancel()
    return lines


async def _measure(name: str, cluster: Cluster, send: SendOne) -> Line:
    client = await connect(LOOPBACK, cluster.entry_hosts[0].caller_port)
    points = []
    async with client.stream:
        await _send_many(client, send, WARM_UP_CALLS)
        for count in CALL_COUNTS:
            before = await _read_cpu(cluster)
            await _send_many(client, send, count)
            points.append((await _read_cpu(cluster) - before) * US_PER_SECOND)
    quantity = f'{name}: processor time of all hosts'
    return fit_line(quantity, 'us', 'calls', CALL_COUNTS, points)


async def _read_cpu(cluster: Cluster) -> float:
    figures = [await read_figures(entry) for entry in cluster.entry_hosts]
    return sum(one[CPU] for one in figures)


async def _send_many(client: Client, send: SendOne, count: int) -> None:
    for _ in range(count):
        await send(client)


async def _look_up(client: Client) -> None:
    await fetch(client, 'GET', '/racks/7', headers={'x-customer': 'verein'})


async def _book_here(client: Client) -> None:
    reply = await fetch(client, 'GET', '/-/idempotency-key')
    issued = msgspec.json.decode(reply.body, type=Issued)
    await _book(client, issued.key)


async def _book_anywhere(client: Client) -> None:
    await _book(client, str(uuid7()))


async def _book(client: Client, key: str) -> None:
    headers = {'x-customer': 'verein', 'idempotency-key': key}
    await fetch(client, 'POST', '/bookings', headers=headers)
