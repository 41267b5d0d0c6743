"""State and dependencies that the tasks of an entry host share."""

import time
from random import Random

import attrs
import httpx
import trio

from ebonystream._ids import Incarnation, Seconds
from ebonystream._timers import MS_PER_SECOND, Timers, make_timers
from ebonystream.backend import Directory
from ebonystream.composition._fleet import make_fleet_view
from ebonystream.composition._peers import Peers, draw_incarnation, make_peers
from ebonystream.composition._policy import Policy, make_policy
from ebonystream.composition._servers import (
    ServerRules,
    make_moves_view,
    make_server_rules,
)
from ebonystream.configuration import ControlReplica
from ebonystream.logservice import (
    LogService,
    ReadHosts,
    make_http_log_service,
    make_read_hosts,
)
from ebonystream.move import ZonesInFlight
from ebonystream.observation import Metrics, Traffic, count_transport_bytes
from ebonystream.ownership import KeyTable, OwnershipTable
from ebonystream.peer import Transport
from ebonystream.settings import Settings
from ebonystream.upstream import ConnectionPool, PoolLimits


@attrs.frozen(kw_only=True)
class Parts:
    """State and dependencies of one entry host.

    Attributes:
        settings: The checked settings.
        timers: Source of the current time.
        log: The log service.
        read_hosts: Reads the host list.
        control: The configuration and the moves in force.
        ownership_table: Owners of the timestamps of each slice of keys.
        key_table: Keys that this host has begun, with their outcomes.
        peers: The other entry hosts and the connections to them.
        zones_in_flight: Counts the calls in flight in each zone.
        directory: The known backend servers.
        server_rules: The rules on calls to backend servers.
        server_pool: Connections to backend servers.
        metrics: The metrics of this host.
        policy: The overload policy.
        peer_traffic: Counts the bytes exchanged with peers.
        platform_traffic: Counts the bytes exchanged with the platform.
        incarnation: Incarnation of this host; each restart starts a new one.
        listed: Set once the host list includes this host.
        stopping: Set once this host is shutting down.
    """

    settings: Settings
    timers: Timers
    log: LogService
    read_hosts: ReadHosts
    control: ControlReplica
    ownership_table: OwnershipTable
    key_table: KeyTable
    peers: Peers
    zones_in_flight: ZonesInFlight
    directory: Directory
    server_rules: ServerRules
    server_pool: ConnectionPool
    metrics: Metrics
    policy: Policy
    peer_traffic: Traffic
    platform_traffic: Traffic
    incarnation: Incarnation
    listed: trio.Event
    stopping: trio.Event


def make_parts(
    settings: Settings,
    *,
    client: httpx.AsyncClient,
    transport: Transport,
    platform_traffic: Traffic,
) -> Parts:
    """Make the parts of one entry host without starting any task.

    Args:
        settings: The checked settings.
        client: The HTTP client for the platform's services.
        transport: Transports messages to and from the other entry hosts.
        platform_traffic: Counts the bytes that the client exchanges.
    """
    timers = make_timers(wall_clock=time.time)
    peer_traffic = Traffic()
    incarnation = draw_incarnation()
    directory = Directory()
    control = ControlReplica()
    peers = make_peers(
        settings, incarnation, count_transport_bytes(transport, peer_traffic)
    )
    server_rules = make_server_rules(
        directory=directory,
        fleet=make_fleet_view(peers.membership.table, timers),
        moves_view=make_moves_view(control),
        slots_per_server=settings.backends.slots,
        timers=timers,
        random=Random(incarnation),
    )
    policy = make_policy(
        settings,
        timers=timers,
        directory=directory,
        control=control,
        peers=peers,
        server_rules=server_rules,
    )
    return Parts(
        settings=settings,
        timers=timers,
        log=make_http_log_service(client=client, url=settings.log.url),
        read_hosts=make_read_hosts(client=client, url=settings.host_list.url),
        control=control,
        ownership_table=OwnershipTable(
            retention_ms=settings.ownership.window_ms
        ),
        key_table=KeyTable(max_bytes=settings.ownership.max_bytes),
        peers=peers,
        zones_in_flight=ZonesInFlight(control.is_evacuated),
        directory=directory,
        server_rules=server_rules,
        server_pool=ConnectionPool(_make_pool_limits(settings), timers),
        metrics=Metrics(),
        policy=policy,
        peer_traffic=peer_traffic,
        platform_traffic=platform_traffic,
        incarnation=incarnation,
        listed=trio.Event(),
        stopping=trio.Event(),
    )


def _make_pool_limits(settings: Settings) -> PoolLimits:
    backend_settings = settings.backends
    return PoolLimits(
        max_idle=backend_settings.slots + backend_settings.queue,
        idle_timeout=convert_ms(backend_settings.idle_ms),
        connect_timeout=convert_ms(backend_settings.connect_timeout_ms),
    )


def convert_ms(duration_ms: int) -> Seconds:
    """Convert a duration from milliseconds, as in the settings, to seconds."""
    return Seconds(duration_ms / MS_PER_SECOND)
