"""Reads and writes of this host in the platform's store."""

from functools import partial

from ebonystream._ids import Offset, Seconds, ServerId
from ebonystream.entryhost._move_reports import StoredReport
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._store_sync import NO_WAIT, StoreReader
from ebonystream.gossip import HostRegistry, RegisteredHost
from ebonystream.orders import OrdersListing, OrdersPosition
from ebonystream.platform import (
    HOSTS_TOPIC,
    OPERATOR_TOPIC,
    SERVERS_TOPIC,
    STATUS_TOPIC,
    StoreClient,
    decode_hosts,
    decode_orders,
    decode_servers,
    encode_host_record,
    encode_move_status,
    find_reported_verdict,
)
from ebonystream.roster import EntriesListing
from ebonystream.versionmove import VersionMove


def make_store_reader(parts: HostParts, store: StoreClient) -> StoreReader:
    """Make the functions that read the orders and the servers.

    Args:
        parts: The state of the host.
        store: The client for the store.
    """

    async def list_orders() -> OrdersListing:
        listing = await store.list_newest(OPERATOR_TOPIC)
        unreadable: dict[str, str] = {}
        orders = decode_orders(listing, unreadable.__setitem__)
        parts.unreadable_records.update(OPERATOR_TOPIC, unreadable)
        return orders

    async def wait_for_orders(
        known_end: Offset, wait: Seconds
    ) -> OrdersPosition | None:
        found = await store.wait_for_append(
            OPERATOR_TOPIC, known_end, wait=wait
        )
        if found.end is None:
            return None
        return OrdersPosition(found.era, found.end)

    async def list_entries() -> EntriesListing:
        listing = await store.list_newest(SERVERS_TOPIC)
        unreadable: dict[str, str] = {}
        entries = decode_servers(listing, unreadable.__setitem__)
        parts.unreadable_records.update(SERVERS_TOPIC, unreadable)
        return EntriesListing(entries, frozenset(map(ServerId, unreadable)))

    async def check_store() -> None:
        await store.wait_for_append(SERVERS_TOPIC, Offset(0), wait=NO_WAIT)

    return StoreReader(
        list_orders=list_orders,
        wait_for_orders=wait_for_orders,
        list_entries=list_entries,
        check_store=check_store,
    )


def make_host_registry(parts: HostParts, store: StoreClient) -> HostRegistry:
    """Make the functions that register this host and list all hosts.

    Args:
        parts: The state of the host.
        store: The client for the store.
    """

    async def register() -> None:
        settings = parts.settings
        host = RegisteredHost(settings.peer_endpoint.address, settings.zone)
        record = encode_host_record(host, settings.name)
        await store.append_keyed(HOSTS_TOPIC, record)

    async def list_hosts() -> tuple[RegisteredHost, ...]:
        listing = await store.list_newest(HOSTS_TOPIC)
        unreadable: dict[str, str] = {}
        hosts = decode_hosts(listing, unreadable.__setitem__)
        parts.unreadable_records.update(HOSTS_TOPIC, unreadable)
        return hosts

    return HostRegistry(register=register, list_hosts=list_hosts)


async def read_report(store: StoreClient, move: VersionMove) -> StoredReport:
    """Read the newest report of a move.

    Args:
        store: The client for the store.
        move: The version move.

    Raises:
        EbonystreamError: The store does not respond.
    """
    listing = await store.list_newest(STATUS_TOPIC)
    return StoredReport(
        verdict=find_reported_verdict(listing, move.service, move.id),
        write=partial(_write_report, store, move, listing.end),
    )


async def _write_report(
    store: StoreClient, move: VersionMove, end: Offset
) -> bool:
    record = encode_move_status(move)
    return (
        await store.append_keyed(STATUS_TOPIC, record, expected_end=end)
        is not None
    )
