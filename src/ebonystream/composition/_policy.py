"""Wires the policy under load: slots, routing and what is learned of both."""

from functools import partial

import attrs
import trio

from ebonystream._ids import Seconds
from ebonystream._timers import Timers
from ebonystream.backend import (
    BackendServer,
    Directory,
    Observe,
    Place,
    UsualLatencies,
)
from ebonystream.call import Call
from ebonystream.composition._peers import Peers
from ebonystream.composition._servers import ServerRules
from ebonystream.composition._slots import (
    make_exchange,
    make_registry,
)
from ebonystream.configuration import ControlReplica
from ebonystream.observation import log_placement
from ebonystream.peer import Heartbeat
from ebonystream.plan import GuaranteedRates, make_rank_call
from ebonystream.probe import ProbeBudget, Prober
from ebonystream.routing import (
    SlotExchange,
    SlotRegistry,
    make_place_call,
    make_slot_observer,
)
from ebonystream.settings import Settings

CHECK_PERIOD = 0.1
"""How often missing slots are looked for, in seconds."""

DIVIDE_PERIOD = 0.25
"""How often guaranteed rates are divided among the hosts, in seconds."""


@attrs.frozen(kw_only=True)
class Policy:
    """What the policy of one entry host is made of.

    Attributes:
        timers: Tells the time.
        control: The configuration in force.
        exchange: The slots of this host.
        registry: Makes slots that nobody holds.
        guarantees: What is left of the guaranteed rates.
        prober: Which servers are probed.
        usual: How long calls usually take.
        peers: The other entry hosts.
        place: Finds a server for a call.
        learn: Learns from an attempt and frees its slot; the first observer.
    """

    timers: Timers
    control: ControlReplica
    exchange: SlotExchange
    registry: SlotRegistry
    guarantees: GuaranteedRates
    usual: UsualLatencies
    prober: Prober
    peers: Peers
    place: Place
    learn: Observe


def make_policy(
    settings: Settings,
    *,
    timers: Timers,
    directory: Directory,
    control: ControlReplica,
    peers: Peers,
    rules: ServerRules,
) -> Policy:
    """Make the policy of one entry host; nothing runs yet.

    Args:
        settings: The checked settings.
        timers: Tells the time.
        directory: The servers that are known.
        control: The configuration in force.
        peers: The other entry hosts.
        rules: What servers bear, and who may use starting ones.
    """

    def may_route(call: Call, server: BackendServer) -> bool:
        return not control.is_evacuated(server.zone) and rules.may_take(
            call, server
        )

    usual = UsualLatencies()
    guarantees = GuaranteedRates()
    exchange = make_exchange(
        timers=timers,
        directory=directory,
        usual=usual,
        may_take=may_route,
        is_out=control.is_evacuated,
        peers=peers,
    )
    return Policy(
        timers=timers,
        control=control,
        exchange=exchange,
        registry=make_registry(
            settings, exchange, directory, peers, rules.view.find_sponsor
        ),
        guarantees=guarantees,
        usual=usual,
        prober=_make_prober(settings, directory, peers),
        peers=peers,
        place=make_place_call(
            exchange=exchange,
            directory=directory,
            is_zone_out=control.is_evacuated,
            observe_placement=partial(log_placement, timers),
            get_rank=make_rank_call(
                get_plans=control.get_plans,
                guaranteed_rates=guarantees,
                timers=timers,
            ),
            timers=timers,
        ),
        learn=make_slot_observer(
            exchange=exchange, usual_durations=usual, timers=timers
        ),
    )


def _make_prober(
    settings: Settings, directory: Directory, peers: Peers
) -> Prober:
    table = peers.membership.table
    return Prober(
        directory=directory,
        budget=ProbeBudget(
            cost_ms=settings.backends.probe_cost_ms,
            budget_ms=settings.backends.probe_budget_ms,
        ),
        is_prober=lambda server: table.find_owner(server) == table.own.host,
    )


def start_policy(background: trio.Nursery, policy: Policy) -> None:
    """Start the tasks of the policy.

    Args:
        background: Where they run.
        policy: The policy.
    """
    background.start_soon(keep_slots, policy)
    background.start_soon(divide_guarantees, policy)


def take_policy_report(policy: Policy, heartbeat: Heartbeat) -> None:
    """Learn what a peer holds, and how many calls come to it.

    Args:
        policy: The policy of this host.
        heartbeat: A heartbeat of an incarnation that is believed.
    """
    policy.registry.handle_report(heartbeat.host, heartbeat.loads)
    policy.guarantees.record_report(heartbeat.host, heartbeat.demands)


async def keep_slots(policy: Policy) -> None:
    """Make the slots that nobody holds, for ever."""
    async for _ in policy.timers.subscribe(period=Seconds(CHECK_PERIOD)):
        policy.registry.reconcile()


async def divide_guarantees(policy: Policy) -> None:
    """Divide the guaranteed rates anew with each period, for ever."""
    async for now in policy.timers.subscribe(period=Seconds(DIVIDE_PERIOD)):
        table = policy.peers.membership.table
        policy.guarantees.retain_hosts(frozenset(table.peers))
        plans = policy.control.get_plans()
        policy.guarantees.end_period(plans.plans if plans else {}, now)
