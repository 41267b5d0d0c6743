"""Meeting the other hosts, and what they are told."""

from collections.abc import Awaitable, Callable

from ebonystream._ids import Monotonic, Seconds
from ebonystream.entryhost._moving import make_move_facts
from ebonystream.entryhost._parts import HostParts
from ebonystream.errors import EbonystreamError
from ebonystream.gossip import (
    Datagrams,
    Facts,
    TroubledServer,
    greet,
    hear_peers,
    tell_peers,
)

MIN_TOLD_FAILURES = 0.4
MAX_TOLD_SERVERS = 20
REGISTER_AGAIN_AFTER = Seconds(1)
"""How long after a failure the registration in the store is tried again."""

Register = Callable[[], Awaitable[tuple[str, ...]]]
"""Leaves this host's address in the store, and gives those of all hosts."""


async def meet_peers(
    parts: HostParts, datagrams: Datagrams, register: Register
) -> None:
    """Greet the seeds and all hosts that the store knows.

    Args:
        parts: The state of the host.
        datagrams: Carries what hosts tell.
        register: Leaves this host's address in the store.
    """
    parts.facts.take(make_facts(parts), parts.timers.now())
    own = parts.settings.peers.address
    seeds = {seed.address for seed in parts.settings.seeds} - {own}
    await greet(parts.facts, datagrams, sorted(seeds), now=parts.timers.now())
    registered: tuple[str, ...] | None = None
    while registered is None:
        try:
            registered = await register()
        except EbonystreamError as error:
            parts.note('not_registered', why=str(error))
            await parts.timers.wait(REGISTER_AGAIN_AFTER)
    others = sorted(set(registered) - {own})
    now = parts.timers.now()
    parts.facts.take(make_facts(parts), now)
    await greet(parts.facts, datagrams, others, now=now)


async def talk_to_peers(parts: HostParts, datagrams: Datagrams) -> None:
    """Tell this host's facts to its peers, for ever.

    Args:
        parts: The state of the host.
        datagrams: Carries them.
    """
    await tell_peers(
        parts.facts,
        datagrams,
        make_facts=lambda: make_facts(parts),
        is_busy=lambda: bool(parts.moves.list_running()),
        timers=parts.timers,
        random=parts.random,
    )


async def listen_to_peers(parts: HostParts, datagrams: Datagrams) -> None:
    """Take in what peers tell, for ever.

    Args:
        parts: The state of the host.
        datagrams: Carries it.
    """

    def hear(facts: Facts) -> None:
        now = parts.timers.now()
        for troubled in facts.troubled:
            known = parts.roster.servers.get(troubled.server)
            if known is not None:
                known.record_reported_failures(
                    facts.host, troubled.failures, now
                )
        parts.crash_notes.take_notes(facts.crashes)
        if facts.orders_end > parts.orders.end:
            parts.wake_orders()
            parts.hear_news(facts)

    await hear_peers(parts.facts, datagrams, hear=hear, timers=parts.timers)


def make_facts(parts: HostParts) -> Facts:
    """Make what this host tells now.

    Args:
        parts: The state of the host.
    """
    now = parts.timers.now()
    parts.said += 1
    return Facts(
        host=parts.settings.name,
        incarnation=parts.incarnation,
        number=parts.said,
        zone=parts.settings.zone,
        address=parts.settings.peers.address,
        leaving=parts.leaving.is_set(),
        detached=parts.detached,
        orders_end=parts.orders.end,
        troubled=_list_troubled(parts, now),
        moves=make_move_facts(parts, now),
        crashes=parts.crash_notes.list_notes(),
    )


def _list_troubled(
    parts: HostParts, now: Monotonic
) -> tuple[TroubledServer, ...]:
    weighed = (
        TroubledServer(name, round(server.get_own_failures(now), 2))
        for name, server in parts.roster.servers.items()
    )
    troubled = [one for one in weighed if one.failures >= MIN_TOLD_FAILURES]
    troubled.sort(key=lambda one: -one.failures)
    return tuple(troubled[:MAX_TOLD_SERVERS])
