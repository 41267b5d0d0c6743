"""The parts that one entry host is made of."""

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
    """Everything that tasks of one entry host share."""

    settings: Settings
    timers: Timers
    log: LogService
    read_hosts: ReadHosts
    control: ControlReplica
    grants: OwnershipTable
    ledger: KeyTable
    peers: Peers
    zones_in_flight: ZonesInFlight
    directory: Directory
    server_rules: ServerRules
    pool: ConnectionPool
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
    """Make the parts of one entry host; nothing runs yet.

    Args:
        settings: The checked settings.
        client: The HTTP client for the platform's services.
        transport: Carries bytes to the other entry hosts.
        platform_traffic: Counts the bytes of that client.
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
        view=make_fleet_view(peers.membership.table, timers),
        moves=make_moves_view(control),
        slots=settings.backends.slots,
        timers=timers,
        random=Random(incarnation),
    )
    policy = make_policy(
        settings,
        timers=timers,
        directory=directory,
        control=control,
        peers=peers,
        rules=server_rules,
    )
    return Parts(
        settings=settings,
        timers=timers,
        log=make_http_log_service(client=client, url=settings.log.url),
        read_hosts=make_read_hosts(client=client, url=settings.host_list.url),
        control=control,
        grants=OwnershipTable(retention_ms=settings.ownership.window_ms),
        ledger=KeyTable(max_bytes=settings.ownership.max_bytes),
        peers=peers,
        zones_in_flight=ZonesInFlight(control.is_evacuated),
        directory=directory,
        server_rules=server_rules,
        pool=ConnectionPool(_make_limits(settings), timers),
        metrics=Metrics(),
        policy=policy,
        peer_traffic=peer_traffic,
        platform_traffic=platform_traffic,
        incarnation=incarnation,
        listed=trio.Event(),
        stopping=trio.Event(),
    )


def _make_limits(settings: Settings) -> PoolLimits:
    backends = settings.backends
    return PoolLimits(
        max_idle=backends.slots + backends.queue,
        idle_timeout=convert_ms(backends.idle_ms),
        connect_timeout=convert_ms(backends.connect_timeout_ms),
    )


def convert_ms(length: int) -> Seconds:
    """Convert milliseconds, as in the settings, to seconds."""
    return Seconds(length / MS_PER_SECOND)
