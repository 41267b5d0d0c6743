"""Gossip with the other hosts, and the facts sent to them."""

from itertools import islice

from ebonystream._ids import Monotonic, Seconds
from ebonystream._validation import limit_duration
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._rank_demands import make_rank_demands
from ebonystream.entryhost._version_moves import make_move_facts
from ebonystream.gossip import (
    DutyFacts,
    FailingServer,
    GossipSocket,
    HostFacts,
    HostRegistry,
    Joining,
    LeavingServer,
    join_hosts,
    receive_gossip,
    send_gossip,
)
from ebonystream.roster import EntryState

MIN_REPORTED_FAILURES = 0.4
"""Failure weight from which a server is reported as failing."""

SETTLING_TIME = Seconds(3)
"""Time after its start in which a host may not know its peers, in seconds."""

MAX_REPORTED_SERVERS = 20
"""Maximum number of failing servers, and of leaving ones, that are reported."""


async def join_peers(
    parts: HostParts, gossip_socket: GossipSocket, registry: HostRegistry
) -> None:
    """Make this host known to the others; never return.

    Args:
        parts: The state of the host.
        gossip_socket: The socket for gossip.
        registry: The hosts that are registered in the store.
    """
    await join_hosts(
        Joining(
            table=parts.facts,
            gossip_socket=gossip_socket,
            registry=registry,
            seeds=[seed.address for seed in parts.settings.seeds],
            own_address=parts.settings.peer_endpoint.address,
            make_facts=lambda: make_facts(parts),
            on_failure=lambda why: parts.log_event('not_registered', why=why),
            timers=parts.timers,
            random=parts.random,
        )
    )


async def send_facts(parts: HostParts, gossip_socket: GossipSocket) -> None:
    """Send this host's facts to its peers periodically; never return.

    Args:
        parts: The state of the host.
        gossip_socket: The socket for gossip.
    """
    await send_gossip(
        parts.facts,
        gossip_socket,
        make_facts=lambda: make_facts(parts),
        is_urgent=lambda: bool(parts.moves.list_running()),
        timers=parts.timers,
        random=parts.random,
    )


async def receive_facts(parts: HostParts, gossip_socket: GossipSocket) -> None:
    """Receive the facts of peers and apply them; never return.

    Args:
        parts: The state of the host.
        gossip_socket: The socket for gossip.
    """

    def apply_facts(facts: HostFacts) -> None:
        now = parts.timers.now()
        for failing in facts.failing_servers:
            server = parts.roster.servers.get(failing.server)
            if server is not None:
                server.record_reported_failures(
                    facts.host, failing.failures, now
                )
        for leaving in facts.leaving_servers:
            parts.roster.mark_leaving(leaving.server, leaving.started)
        parts.suspect_exchange.update_from_notes(facts.suspect_notes)
        _hear_duty(parts, facts)
        if facts.get_orders_position() > parts.orders.position:
            parts.cancel_orders_wait()
            parts.request_orders_from(facts)

    await receive_gossip(
        parts.facts, gossip_socket, on_facts=apply_facts, timers=parts.timers
    )


def make_facts(parts: HostParts) -> HostFacts:
    """Make the current facts of this host, with the next sequence number.

    Args:
        parts: The state of the host.
    """
    now = parts.timers.now()
    parts.facts_sequence += 1
    return HostFacts(
        host=parts.settings.name,
        incarnation=parts.incarnation,
        sequence=parts.facts_sequence,
        zone=parts.settings.zone,
        address=parts.settings.peer_endpoint.address,
        leaving=parts.leaving.is_set(),
        store_unreachable=parts.store_unreachable,
        orders_end=parts.orders.end,
        failing_servers=_list_failing_servers(parts, now),
        moves=make_move_facts(parts, now),
        suspect_notes=parts.suspect_exchange.encode_notes(),
        leaving_servers=_list_leaving_servers(parts),
        probe_demand=round(parts.probe_budget.estimate_demand(now), 1),
        settled=now - parts.started_at >= SETTLING_TIME,
        duty=_make_duty_facts(parts),
        rank_demands=make_rank_demands(parts.reservations, now),
        orders_era=parts.orders.position.era,
        proof_age=_round_proof_age(parts),
    )


def _round_proof_age(parts: HostParts) -> Seconds | None:
    age = parts.orders.freshness.get_age(parts.timers.boot_now())
    return None if age is None else limit_duration(round(age, 1))


def _hear_duty(parts: HostParts, facts: HostFacts) -> None:
    usage = parts.usage
    if usage is None or facts.duty is None:
        return
    if usage.hear(facts.duty, parts.timers.boot_now()):
        usage.refused_hosts.discard(facts.host)
    elif facts.host not in usage.refused_hosts:
        usage.refused_hosts.add(facts.host)
        parts.log_event(
            'duty_facts_refused',
            host=facts.host,
            window=facts.duty.window,
            reported=facts.duty.reported,
        )


def _make_duty_facts(parts: HostParts) -> DutyFacts | None:
    if parts.usage is None:
        return None
    return parts.usage.make_facts(parts.timers.boot_now())


def _list_leaving_servers(parts: HostParts) -> tuple[LeavingServer, ...]:
    leaving = (
        LeavingServer(server.entry.id, server.entry.started)
        for server in parts.roster.servers.values()
        if server.leaving and server.entry.state is EntryState.SERVING
    )
    return tuple(islice(leaving, MAX_REPORTED_SERVERS))


def _list_failing_servers(
    parts: HostParts, now: Monotonic
) -> tuple[FailingServer, ...]:
    reports = (
        FailingServer(name, round(server.get_own_failures(now), 2))
        for name, server in parts.roster.servers.items()
    )
    failing = [
        report for report in reports if report.failures >= MIN_REPORTED_FAILURES
    ]
    failing.sort(key=lambda report: -report.failures)
    return tuple(failing[:MAX_REPORTED_SERVERS])
