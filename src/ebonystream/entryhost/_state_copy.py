"""Copy of a host's state, whose use leaves the host as it is."""

import copy
from functools import partial
from random import Random

import attrs

from ebonystream.entryhost._cold_servers import make_cold_gate
from ebonystream.entryhost._listing import list_servers
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._patience import PatientRoutes
from ebonystream.entryhost._rank_demands import make_reservations
from ebonystream.entryhost._retry_budget import make_retry_budget
from ebonystream.entryhost._searches import DispatchState
from ebonystream.gossip import copy_fact_table
from ebonystream.placement import ProbeResult, SearchContext
from ebonystream.roster import KnownServer


def copy_parts(parts: HostParts) -> HostParts:
    """Copy what decisions about a request change.

    Servers, demands and facts of hosts are copied, as decisions keep results
    in them. Events of the copy are not logged.

    Args:
        parts: The state of the host.
    """
    copied = copy.copy(parts)
    copied.log_event = _ignore_event
    copied.random = Random()
    copied.facts = copy_fact_table(parts.facts)
    copied.roster = attrs.evolve(
        parts.roster,
        servers={
            name: copy.copy(server)
            for name, server in parts.roster.servers.items()
        },
    )
    reports = make_reservations(copied.facts, _ignore_event)
    copied.reservations = attrs.evolve(
        parts.reservations,
        counts=copy.copy(parts.reservations.counts),
        list_peer_demands=reports.list_peer_demands,
    )
    if parts.dispatch_state is not None:
        copied.dispatch_state = _copy_dispatch_state(
            parts.dispatch_state, copied
        )
    return copied


def make_copied_context(copied: HostParts) -> SearchContext:
    """Make the dependencies of a search that sends no probe.

    Args:
        copied: A copy of the state of the host.
    """
    state = copied.dispatch_state
    shares = state.cold_shares if state else None
    return SearchContext(
        list_servers=partial(list_servers, copied),
        probe=_refuse_probe,
        processing_times=copied.processing_times,
        queues=copied.wait_queues,
        zone=copied.settings.zone,
        timers=copied.timers,
        random=copied.random,
        background=copied.background,
        may_receive=make_cold_gate(copied, shares),
        reservations=copied.reservations,
        is_patient=PatientRoutes(copied.orders).is_patient,
    )


def _copy_dispatch_state(
    state: DispatchState, copied: HostParts
) -> DispatchState:
    count_hosts = make_retry_budget(copied).count_hosts
    shares = state.cold_shares
    return attrs.evolve(
        state,
        retry_budget=state.retry_budget.copy(count_hosts),
        cold_shares=attrs.evolve(shares, by_server=dict(shares.by_server)),
    )


def _ignore_event(event: str, **fields: object) -> None:
    """Log nothing."""


async def _refuse_probe(server: KnownServer) -> ProbeResult:
    raise RuntimeError(f'probe of {server.entry.id} for an explanation')
