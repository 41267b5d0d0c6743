"""Start of the tasks that synchronise a host with the store and its peers."""

from collections.abc import Mapping
from functools import partial

import trio

from ebonystream._address import ServerAddress
from ebonystream._ids import Seconds
from ebonystream.entryhost._gossip import (
    join_peers,
    receive_facts,
    send_facts,
)
from ebonystream.entryhost._internal_handlers import make_sharing_handler
from ebonystream.entryhost._orders_watch import watch_orders
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._peer_fetch import fetch_from_peers
from ebonystream.entryhost._store import (
    make_host_registry,
    make_store_reader,
    read_report,
)
from ebonystream.entryhost._store_sync import sync_orders, sync_servers
from ebonystream.entryhost._supervision import RunTask, run_supervised
from ebonystream.entryhost._usage_tasks import list_usage_tasks
from ebonystream.entryhost._version_moves import run_version_moves
from ebonystream.gossip import (
    GossipSocket,
    make_fetch_shared,
    open_gossip_socket,
)
from ebonystream.ingress import serve_listener
from ebonystream.link import ConnectionPool, PoolLimits, make_exchange
from ebonystream.platform import StoreClient

STORE_POOL_LIMITS = PoolLimits(
    max_idle=2, idle_timeout=Seconds(20), connect_timeout=Seconds(0.5)
)


async def start_sync_tasks(parts: HostParts, nursery: trio.Nursery) -> None:
    """Start the tasks that synchronise this host with the store and its peers.

    Args:
        parts: The state of the host.
        nursery: The nursery that the tasks run in.
    """
    exchange = make_exchange(
        pool=ConnectionPool(STORE_POOL_LIMITS, parts.timers)
    )
    store = StoreClient(
        endpoint=parts.settings.store_endpoint,
        exchange=exchange,
        count_call=parts.metrics.store_calls.increment,
    )
    gossip_socket = await open_gossip_socket(parts.settings.peer_endpoint)
    peer_endpoint = parts.settings.peer_endpoint
    await nursery.start(
        partial(
            serve_listener,
            ServerAddress(peer_endpoint.address, peer_endpoint.port + 1),
            make_sharing_handler(parts),
            connection_nursery=nursery,
        )
    )
    tasks: Mapping[str, RunTask] = {
        **_list_gossip_tasks(parts, gossip_socket, store),
        **_list_store_tasks(parts, store),
        **list_usage_tasks(parts, store, exchange),
        'fetch_from_peers': partial(
            fetch_from_peers, parts, make_fetch_shared(exchange=exchange)
        ),
    }
    for name, run_task in tasks.items():
        nursery.start_soon(run_supervised, parts, name, run_task)


def _list_gossip_tasks(
    parts: HostParts, gossip_socket: GossipSocket, store: StoreClient
) -> Mapping[str, RunTask]:
    registry = make_host_registry(parts, store)
    return {
        'join_peers': partial(join_peers, parts, gossip_socket, registry),
        'receive_facts': partial(receive_facts, parts, gossip_socket),
        'send_facts': partial(send_facts, parts, gossip_socket),
    }


def _list_store_tasks(
    parts: HostParts, store: StoreClient
) -> Mapping[str, RunTask]:
    reader = make_store_reader(parts, store)
    return {
        'sync_orders': partial(sync_orders, parts, reader),
        'sync_servers': partial(sync_servers, parts, reader),
        'watch_orders': partial(watch_orders, parts),
        'version_moves': partial(
            run_version_moves, parts, partial(read_report, store)
        ),
    }
