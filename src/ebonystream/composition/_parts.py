"""The parts that one entry host is made of."""

import time
import uuid

import attrs
import httpx
import trio

from ebonystream._ids import Incarnation, Seconds
from ebonystream._timers import MS_PER_SECOND, Timers, start_timers
from ebonystream.backend import Directory
from ebonystream.composition._peers import ListedPeers
from ebonystream.composition._policy import Policy, make_policy
from ebonystream.composition._servers import (
    ServerRules,
    make_lone_view,
    make_server_rules,
)
from ebonystream.configuration import Control
from ebonystream.move import ZonesInFlight
from ebonystream.observation import Metrics
from ebonystream.platform import (
    LogService,
    ReadHosts,
    make_host_reader,
    make_http_log,
)
from ebonystream.settings import Settings
from ebonystream.upstream import ConnectionPool, PoolLimits


@attrs.frozen(kw_only=True)
class Parts:
    """Everything that tasks of one entry host share."""

    settings: Settings
    timers: Timers
    log: LogService
    read_hosts: ReadHosts
    control: Control
    peers: ListedPeers
    zones_in_flight: ZonesInFlight
    directory: Directory
    server_rules: ServerRules
    pool: ConnectionPool
    metrics: Metrics
    policy: Policy
    incarnation: Incarnation
    stopping: trio.Event


def make_parts(settings: Settings, client: httpx.AsyncClient) -> Parts:
    """Make the parts of one entry host; nothing runs yet.

    Args:
        settings: The checked settings.
        client: The HTTP client for the platform's services.
    """
    timers = start_timers(wall_clock=time.time)
    limits = PoolLimits(
        idle_connections=settings.backends.slots + settings.backends.queue,
        idle=convert_ms(settings.backends.idle_ms),
        connect_timeout=convert_ms(settings.backends.connect_timeout_ms),
    )
    directory = Directory()
    control = Control()
    incarnation = Incarnation(uuid.uuid4().hex)
    server_rules = make_server_rules(
        directory=directory,
        view=make_lone_view(),
        slots=settings.backends.slots,
        timers=timers,
    )
    return Parts(
        settings=settings,
        timers=timers,
        log=make_http_log(client=client, url=settings.log.url),
        read_hosts=make_host_reader(client=client, url=settings.host_list.url),
        control=control,
        peers=ListedPeers(),
        zones_in_flight=ZonesInFlight(control.is_out),
        directory=directory,
        server_rules=server_rules,
        pool=ConnectionPool(limits, timers),
        metrics=Metrics(),
        policy=make_policy(
            settings,
            timers=timers,
            directory=directory,
            control=control,
            may_take=server_rules.may_take,
            incarnation=incarnation,
        ),
        incarnation=incarnation,
        stopping=trio.Event(),
    )


def convert_ms(length: int) -> Seconds:
    """Convert milliseconds, as in the settings, to seconds."""
    return Seconds(length / MS_PER_SECOND)
