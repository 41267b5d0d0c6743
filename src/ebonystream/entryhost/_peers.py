"""Wires what keeps a host in step with the store and its peers."""

from functools import partial

import trio

from ebonystream._address import ServerAddress
from ebonystream._ids import Seconds
from ebonystream.entryhost._asking import ask_peers
from ebonystream.entryhost._callers import make_sharing_handler
from ebonystream.entryhost._following import follow_orders, follow_servers
from ebonystream.entryhost._meeting import (
    listen_to_peers,
    meet_peers,
    talk_to_peers,
)
from ebonystream.entryhost._moving import follow_moves
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._store import (
    make_store_reads,
    read_report,
    register_host,
)
from ebonystream.gossip import make_fetch_shared, open_gossip_socket
from ebonystream.ingress import serve_listener
from ebonystream.link import ConnectionPool, PoolLimits, make_exchange
from ebonystream.platform import StoreClient

STORE_LINKS = PoolLimits(
    max_idle=2, idle_timeout=Seconds(20), connect_timeout=Seconds(0.5)
)


async def start_peers(parts: HostParts, nursery: trio.Nursery) -> None:
    """Start what keeps this host in step with the store and its peers.

    Args:
        parts: The state of the host.
        nursery: Where its tasks run.
    """
    exchange = make_exchange(pool=ConnectionPool(STORE_LINKS, parts.timers))
    store = StoreClient(
        endpoint=parts.settings.store,
        exchange=exchange,
        count_call=parts.metrics.store_calls.add,
    )
    reads = make_store_reads(parts, store)
    datagrams = await open_gossip_socket(parts.settings.peers)
    peers = parts.settings.peers
    await nursery.start(
        partial(
            serve_listener,
            ServerAddress(peers.address, peers.port + 1),
            make_sharing_handler(parts),
            connection_nursery=nursery,
        )
    )
    register = partial(register_host, parts, store)
    nursery.start_soon(meet_peers, parts, datagrams, register)
    nursery.start_soon(listen_to_peers, parts, datagrams)
    nursery.start_soon(talk_to_peers, parts, datagrams)
    nursery.start_soon(ask_peers, parts, make_fetch_shared(exchange=exchange))
    nursery.start_soon(follow_orders, parts, reads)
    nursery.start_soon(follow_servers, parts, reads)
    nursery.start_soon(follow_moves, parts, partial(read_report, store))
