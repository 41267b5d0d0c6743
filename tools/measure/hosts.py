"""Simulated entry hosts that run the product's own functions."""

from collections.abc import Callable
from random import Random

import attrs

from ebonystream._ids import HostId, Seconds, ServerId, ServiceName, ZoneName
from ebonystream.backend import (
    BackendServer,
    Directory,
    MayTake,
    Observe,
    UsualLatencies,
)
from ebonystream.call import Call
from ebonystream.configuration import PlanTable, make_plan_table
from ebonystream.peer import SlotGrant, SlotRequest
from ebonystream.plan import (
    BudgetRatio,
    ExtraAttemptBudget,
    GuaranteedRates,
    get_max_wait_fraction,
    make_rank_call,
)
from ebonystream.routing import (
    SlotExchange,
    SlotPeer,
    SlotRegistry,
    make_choose_slot,
    make_shed_calls,
    make_slot_observer,
)
from measure.lists import make_lists
from measure.load import Load
from measure.loop import Loop, make_timers
from measure.world import (
    SLOTS,
    ZONES,
    Server,
    make_backend_server,
    make_host_id,
)

OVERLAP_PER_SERVER = 1
"""Calls that may wait at a server in addition to those in its slots."""

SLOT_RECREATION_SECONDS = 3
"""Time without a report after which a slot is created again."""

SERVICE = ServiceName('service')

SendMessage = Callable[[ZoneName, HostId, SlotRequest | SlotGrant], None]
"""Sends a message from a zone to a host."""


@attrs.define(eq=False, kw_only=True)
class Host:
    """A simulated entry host.

    Attributes:
        directory: The backend servers.
        exchange: Slots that the host holds and exchanges with its peers.
        observe_attempt: Records the end of an attempt.
        registry: Creates the slots of the servers whose home is this host.
        zones_out: Zones taken out of service, as known to the host.
        is_usable: Returns whether a call may be sent to a server.
        guarantees: Remaining guaranteed rates of the customers.
        plans: The plans in force.
        rank_call: Returns the rank of a call by its customer's plan.
        usual_latencies: Usual latency of each route.
        hedge_budget: Budget of hedged attempts.
        is_assignment_due: Whether an assignment of slots to waiting calls is
            scheduled.
    """

    directory: Directory
    exchange: SlotExchange
    observe_attempt: Observe
    registry: SlotRegistry
    zones_out: set[ZoneName]
    is_usable: MayTake
    guarantees: GuaranteedRates
    plans: PlanTable
    rank_call: Callable[[Call], int]
    usual_latencies: UsualLatencies
    hedge_budget: ExtraAttemptBudget = attrs.field(
        factory=lambda: ExtraAttemptBudget(BudgetRatio.HEDGE)
    )
    is_assignment_due: bool = False


def make_host(
    number: int,
    load: Load,
    loop: Loop,
    *,
    servers: list[Server],
    send: SendMessage,
) -> Host:
    """Create an entry host that holds no slots."""
    zones_out: set[ZoneName] = set()

    def is_usable(call: object, server: BackendServer) -> bool:
        return server.zone not in zones_out

    random = Random(f'{load.seed} host {number}')
    timers = make_timers(loop)
    usual_latencies = UsualLatencies()
    directory = Directory()
    directory.replace(make_backend_server(server) for server in servers)
    zone = ZONES[number % 3]
    peers = [
        SlotPeer(make_host_id(other), ZONES[other % 3])
        for other in range(load.host_count)
        if other != number
    ]
    exchange = SlotExchange(
        local_host=SlotPeer(make_host_id(number), zone),
        timers=timers,
        choose_slot=make_choose_slot(
            zone=zone, may_take=is_usable, random=random
        ),
        shed_calls=make_shed_calls(
            usual_latencies=usual_latencies,
            get_max_wait_fraction=get_max_wait_fraction,
        ),
        is_zone_out=zones_out.__contains__,
        send=lambda to, message: send(zone, to, message),
        list_peers=lambda: peers,
        find_server=directory.servers.get,
        random=random,
    )
    observe_attempt = make_slot_observer(
        exchange=exchange, usual_latencies=usual_latencies, timers=timers
    )
    guarantees = GuaranteedRates(host_count=load.host_count)
    plans = make_plan_table(make_lists(load))
    registry = SlotRegistry(
        exchange=exchange,
        directory=directory,
        slots_per_server=SLOTS,
        overlap_per_server=OVERLAP_PER_SERVER,
        find_home=lambda server: make_host_id(
            find_home(server, load.host_count)
        ),
        get_confirmed_at=lambda server: timers.now(),
        get_recreation_delay=lambda: Seconds(
            SLOT_RECREATION_SECONDS if loop.now else 0
        ),
        is_leaving=bool,
    )
    return Host(
        directory=directory,
        exchange=exchange,
        observe_attempt=observe_attempt,
        registry=registry,
        zones_out=zones_out,
        is_usable=is_usable,
        guarantees=guarantees,
        plans=plans,
        usual_latencies=usual_latencies,
        rank_call=make_rank_call(
            get_plans=lambda: plans, guaranteed_rates=guarantees, timers=timers
        ),
    )


def find_home(server: ServerId, host_count: int) -> int:
    """Return the number of the host that creates a server's slots.

    It is in the same zone as the server.
    """
    number = int(server.removeprefix('s'))
    same_zone_hosts = range(number % 3, host_count, 3)
    return same_zone_hosts[number // 3 % len(same_zone_hosts)]
