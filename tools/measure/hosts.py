"""Entry hosts that run the product's own functions, on the measured world."""

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
from measure.world import SLOTS, ZONES, Server, make_view, name_host

OVERLAP = 1
"""Calls that may wait at a server beyond its slots."""

SILENCE = 3
"""Seconds without news after which a slot is made again."""

SERVICE = ServiceName('service')

Carry = Callable[[ZoneName, HostId, SlotRequest | SlotGrant], None]
"""Brings a message from a zone to a host."""


@attrs.define(eq=False, kw_only=True)
class Host:
    """One entry host.

    Attributes:
        directory: The servers.
        exchange: Its slots.
        learn: Learns from the end of an attempt.
        registry: Makes the slots of the servers that it is home to.
        out: Zones that operators took out, as far as it knows.
        may_take: Tells whether a server may have a call.
        guarantees: What is left of the guaranteed rates.
        plans: The plans in force.
        rank: Gives a call's place by plan.
        usual: How long calls usually take.
        hedges: The budget of hedges.
        ticking: Whether a look at the waiting calls is due.
    """

    directory: Directory
    exchange: SlotExchange
    learn: Observe
    registry: SlotRegistry
    out: set[ZoneName]
    may_take: MayTake
    guarantees: GuaranteedRates
    plans: PlanTable
    rank: Callable[[Call], int]
    usual: UsualLatencies
    hedges: ExtraAttemptBudget = attrs.field(
        factory=lambda: ExtraAttemptBudget(BudgetRatio.HEDGE)
    )
    ticking: bool = False


def make_host(
    number: int, load: Load, loop: Loop, *, servers: list[Server], send: Carry
) -> Host:
    """Make an entry host that holds no slots."""
    out: set[ZoneName] = set()

    def may_take(call: object, server: BackendServer) -> bool:
        return server.zone not in out

    random = Random(f'{load.seed} host {number}')
    timers = make_timers(loop)
    usual = UsualLatencies()
    directory = Directory()
    directory.replace(make_view(server) for server in servers)
    zone = ZONES[number % 3]
    peers = [
        SlotPeer(name_host(other), ZONES[other % 3])
        for other in range(load.hosts)
        if other != number
    ]
    exchange = SlotExchange(
        local_host=SlotPeer(name_host(number), zone),
        timers=timers,
        choose_slot=make_choose_slot(
            zone=zone, may_take=may_take, random=random
        ),
        shed_calls=make_shed_calls(
            usual_durations=usual, get_max_wait_share=get_max_wait_fraction
        ),
        is_zone_out=out.__contains__,
        send=lambda to, message: send(zone, to, message),
        list_peers=lambda: peers,
        find_server=directory.servers.get,
        random=random,
    )
    learn = make_slot_observer(
        exchange=exchange, usual_durations=usual, timers=timers
    )
    guarantees = GuaranteedRates(host_count=load.hosts)
    plans = make_plan_table(make_lists(load))
    registry = SlotRegistry(
        exchange=exchange,
        directory=directory,
        slots_per_server=SLOTS,
        overlap_per_server=OVERLAP,
        find_home=lambda server: name_host(find_home(server, load.hosts)),
        get_confirmed_at=lambda server: timers.now(),
        get_recreation_delay=lambda: Seconds(SILENCE if loop.now else 0),
        is_leaving=bool,
    )
    return Host(
        directory=directory,
        exchange=exchange,
        learn=learn,
        registry=registry,
        out=out,
        may_take=may_take,
        guarantees=guarantees,
        plans=plans,
        usual=usual,
        rank=make_rank_call(
            get_plans=lambda: plans, guaranteed_rates=guarantees, timers=timers
        ),
    )


def find_home(server: ServerId, hosts: int) -> int:
    """Give the host, in the server's zone, that makes its slots."""
    number = int(server.removeprefix('s'))
    near = range(number % 3, hosts, 3)
    return near[number // 3 % len(near)]
