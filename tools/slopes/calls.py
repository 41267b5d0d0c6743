"""Measures the processor time of the entry hosts for each call."""

import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
import trio
from uuid6 import uuid7

from ebonystream.settings import BackendSettings
from slopes.fit import Line, fit_line
from slopes.idle import CPU_METRIC
from slopes.scrape import read_metrics
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
FAST_SERVER = ServerSettings(
    name='', port=0, default_mean_ms=0, slots=MANY_SLOTS
)
SERVICES = (
    Service(
        name='inspections', servers_per_zone=1, server_settings=FAST_SERVER
    ),
    Service(name='bookings', servers_per_zone=1, server_settings=FAST_SERVER),
)

SendCall = Callable[[Client], Awaitable[None]]
"""Sends one call and receives its response."""


class IssuedKey(msgspec.Struct):
    """A new idempotency key, issued by an entry host.

    Attributes:
        key: The key.
    """

    key: str


async def measure_calls() -> list[Line]:
    """Measure lookups, bookings sent to their owner, and any bookings.

    A booking that reaches another host than its owner is forwarded.
    """
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
                await _measure('booking at its owner', cluster, _book_at_owner),
                await _measure('booking anywhere', cluster, _book_anywhere),
            ]
            nursery.cancel_scope.cancel()
    return lines


async def _measure(name: str, cluster: Cluster, send: SendCall) -> Line:
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
    metrics = [await read_metrics(entry) for entry in cluster.entry_hosts]
    return sum(host_metrics[CPU_METRIC] for host_metrics in metrics)


async def _send_many(client: Client, send: SendCall, count: int) -> None:
    for _ in range(count):
        await send(client)


async def _look_up(client: Client) -> None:
    await fetch(client, 'GET', '/racks/7', headers={'x-customer': 'verein'})


async def _book_at_owner(client: Client) -> None:
    response = await fetch(client, 'GET', '/-/idempotency-key')
    issued_key = msgspec.json.decode(response.body, type=IssuedKey)
    await _book(client, issued_key.key)


async def _book_anywhere(client: Client) -> None:
    await _book(client, str(uuid7()))


async def _book(client: Client, key: str) -> None:
    headers = {'x-customer': 'verein', 'idempotency-key': key}
    await fetch(client, 'POST', '/bookings', headers=headers)
