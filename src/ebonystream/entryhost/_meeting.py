"""Meeting the other hosts, and what they are told."""

from collections.abc import Awaitable, Callable

from ebonystream._ids import Monotonic, Seconds
from ebonystream.entryhost._moving import make_move_facts
from ebonystream.entryhost._parts import HostParts
from ebonystream.errors import EbonystreamError
from ebonystream.gossip import (
    FailingServer,
    GossipSocket,
    HostFacts,
    announce,
    receive_gossip,
    send_gossip,
)

MIN_TOLD_FAILURES = 0.4
MAX_TOLD_SERVERS = 20
REGISTER_AGAIN_AFTER = Seconds(1)
"""How long after a failure the registration in the store is tried again."""

Register = Callable[[], Awaitable[tuple[str, ...]]]
"""Leaves this host's address in the store, and gives those of all hosts."""


async def meet_peers(
    parts: HostParts, datagrams: GossipSocket, register: Register
) -> None:
    """Greet the seeds and all hosts that the store knows.

    Args:
        parts: The state of the host.
        datagrams: Carries what hosts tell.
        register: Leaves this host's address in the store.
    """
    parts.facts.update(make_facts(parts), parts.timers.now())
    own = parts.settings.peers.address
    seeds = {seed.address for seed in parts.settings.seeds} - {own}
    await announce(
        parts.facts, datagrams, sorted(seeds), now=parts.timers.now()
    )
    registered: tuple[str, ...] | None = None
    while registered is None:
        try:
            registered = await register()
        except EbonystreamError as error:
            parts.note('not_registered', why=str(error))
            await parts.timers.wait(REGISTER_AGAIN_AFTER)
    others = sorted(set(registered) - {own})
    now = parts.timers.now()
    parts.facts.update(make_facts(parts), now)
    await announce(parts.facts, datagrams, others, now=now)


async def talk_to_peers(parts: HostParts, datagrams: GossipSocket) -> None:
    """Tell this host's facts to its peers, for ever.

    Args:
        parts: The state of the host.
        datagrams: Carries them.
    """
    await send_gossip(
        parts.facts,
        datagrams,
        make_facts=lambda: make_facts(parts),
        is_urgent=lambda: bool(parts.moves.list_running()),
        timers=parts.timers,
        random=parts.random,
    )


async def listen_to_peers(parts: HostParts, datagrams: GossipSocket) -> None:
    """Take in what peers tell, for ever.

    Args:
        parts: The state of the host.
        datagrams: Carries it.
    """

    def hear(facts: HostFacts) -> None:
        now = parts.timers.now()
        for troubled in facts.failing_servers:
            known = parts.roster.servers.get(troubled.server)
            if known is not None:
                known.record_reported_failures(
                    facts.host, troubled.failures, now
                )
        parts.crash_notes.take_notes(facts.crash_notes)
        if facts.orders_end > parts.orders.end:
            parts.wake_orders()
            parts.hear_news(facts)

    await receive_gossip(
        parts.facts, datagrams, on_facts=hear, timers=parts.timers
    )


def make_facts(parts: HostParts) -> HostFacts:
    """Make what this host tells now.

    Args:
        parts: The state of the host.
    """
    now = parts.timers.now()
    parts.said += 1
    return HostFacts(
        host=parts.settings.name,
        incarnation=parts.incarnation,
        sequence=parts.said,
        zone=parts.settings.zone,
        address=parts.settings.peers.address,
        leaving=parts.leaving.is_set(),
        store_unreachable=parts.detached,
        orders_end=parts.orders.end,
        failing_servers=_list_troubled(parts, now),
        moves=make_move_facts(parts, now),
        crash_notes=parts.crash_notes.list_notes(),
    )


def _list_troubled(
    parts: HostParts, now: Monotonic
) -> tuple[FailingServer, ...]:
    weighed = (
        FailingServer(name, round(server.get_own_failures(now), 2))
        for name, server in parts.roster.servers.items()
    )
    troubled = [one for one in weighed if one.failures >= MIN_TOLD_FAILURES]
    troubled.sort(key=lambda one: -one.failures)
    return tuple(troubled[:MAX_TOLD_SERVERS])
