"""Wiring of the overload policy: slots, guaranteed rates and placement."""

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
    make_slot_exchange,
    make_slot_registry,
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

SLOT_CHECK_PERIOD = 0.1
"""Period of renewing leases and creating missing slots, in seconds."""

RATE_SHARE_PERIOD = 0.25
"""Period of updating this host's shares of guaranteed rates, in seconds."""


@attrs.frozen(kw_only=True)
class Policy:
    """State and functions of the overload policy of one entry host.

    Attributes:
        timers: Source of the current time.
        control: The configuration in force.
        slot_exchange: The slots that this host holds.
        slot_registry: The slots that this host is the home of.
        guaranteed_rates: This host's shares of the customers' guaranteed rates.
        usual_latencies: Usual latencies of calls.
        prober: Selects the servers that this host probes.
        peers: The other entry hosts.
        place: The placement function for calls.
        slot_observer: Releases the slot of an attempt at its end and records
            its latency; must be the first observer.
    """

    timers: Timers
    control: ControlReplica
    slot_exchange: SlotExchange
    slot_registry: SlotRegistry
    guaranteed_rates: GuaranteedRates
    usual_latencies: UsualLatencies
    prober: Prober
    peers: Peers
    place: Place
    slot_observer: Observe


def make_policy(
    settings: Settings,
    *,
    timers: Timers,
    directory: Directory,
    control: ControlReplica,
    peers: Peers,
    server_rules: ServerRules,
) -> Policy:
    """Make the overload policy of one entry host without starting any task.

    Args:
        settings: The checked settings.
        timers: Source of the current time.
        directory: The known servers.
        control: The configuration in force.
        peers: The other entry hosts.
        server_rules: The rules on calls to backend servers.
    """

    def may_take(call: Call, server: BackendServer) -> bool:
        return not control.is_evacuated(server.zone) and server_rules.may_take(
            call, server
        )

    usual_latencies = UsualLatencies()
    guaranteed_rates = GuaranteedRates()
    slot_exchange = make_slot_exchange(
        timers=timers,
        directory=directory,
        usual_latencies=usual_latencies,
        may_take=may_take,
        is_zone_out=control.is_evacuated,
        peers=peers,
    )
    return Policy(
        timers=timers,
        control=control,
        slot_exchange=slot_exchange,
        slot_registry=make_slot_registry(
            settings,
            slot_exchange,
            directory,
            peers,
            server_rules.fleet.find_sponsor,
        ),
        guaranteed_rates=guaranteed_rates,
        usual_latencies=usual_latencies,
        prober=_make_prober(settings, directory, peers),
        peers=peers,
        place=make_place_call(
            exchange=slot_exchange,
            directory=directory,
            is_zone_out=control.is_evacuated,
            observe_placement=partial(log_placement, timers),
            get_rank=make_rank_call(
                get_plans=control.get_plans,
                guaranteed_rates=guaranteed_rates,
                timers=timers,
            ),
            timers=timers,
        ),
        slot_observer=make_slot_observer(
            exchange=slot_exchange,
            usual_latencies=usual_latencies,
            timers=timers,
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
        is_prober=lambda server: table.find_owner(server) == table.local.host,
    )


def start_policy(background: trio.Nursery, policy: Policy) -> None:
    """Start the tasks of the overload policy.

    Args:
        background: Nursery of the tasks.
        policy: The overload policy.
    """
    background.start_soon(reconcile_slots, policy)
    background.start_soon(update_rate_shares, policy)


def record_peer_report(policy: Policy, heartbeat: Heartbeat) -> None:
    """Record the slots and the demand that a peer reports.

    Args:
        policy: The overload policy of this host.
        heartbeat: An accepted heartbeat of the peer.
    """
    policy.slot_registry.handle_report(heartbeat.host, heartbeat.loads)
    policy.guaranteed_rates.record_report(heartbeat.host, heartbeat.demands)


async def reconcile_slots(policy: Policy) -> None:
    """Renew leases and create missing slots; runs until cancelled."""
    async for _ in policy.timers.subscribe(period=Seconds(SLOT_CHECK_PERIOD)):
        policy.slot_registry.reconcile()


async def update_rate_shares(policy: Policy) -> None:
    """Update the shares of the guaranteed rates; runs until cancelled."""
    async for now in policy.timers.subscribe(period=Seconds(RATE_SHARE_PERIOD)):
        table = policy.peers.membership.table
        policy.guaranteed_rates.retain_hosts(frozenset(table.peers))
        plans = policy.control.get_plans()
        policy.guaranteed_rates.end_period(plans.plans if plans else {}, now)
