"""Gossip with the other hosts, and the facts sent to them."""

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
"""Failure weight from which a server is reported as failing."""

MAX_TOLD_SERVERS = 20
"""Number of failing servers that are reported at most."""

REGISTER_AGAIN_AFTER = Seconds(1)
"""Delay before the next attempt after a failed registration, in seconds."""

Register = Callable[[], Awaitable[tuple[str, ...]]]
"""Stores this host's address; returns the addresses of all hosts.

Raises `EbonystreamError` if the store fails.
"""


async def meet_peers(
    parts: HostParts, datagrams: Datagrams, register: Register
) -> None:
    """Announce this host to the seeds and to all registered hosts.

    The registration in the store is retried until it succeeds.

    Args:
        parts: The state of the host.
        datagrams: The socket for gossip.
        register: Registers this host's address in the store.
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
    """Send this host's facts to its peers periodically; never return.

    Args:
        parts: The state of the host.
        datagrams: The socket for gossip.
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
    """Receive the facts of peers and apply them; never return.

    Args:
        parts: The state of the host.
        datagrams: The socket for gossip.
    """

    def apply_facts(facts: Facts) -> None:
        now = parts.timers.now()
        for failing in facts.troubled:
            server = parts.roster.servers.get(failing.server)
            if server is not None:
                server.hear_failures(facts.host, failing.failures, now)
        parts.crash_notes.take_notes(facts.crashes)
        if facts.orders_end > parts.orders.end:
            parts.wake_orders()
            parts.hear_news(facts)

    await hear_peers(
        parts.facts, datagrams, hear=apply_facts, timers=parts.timers
    )


def make_facts(parts: HostParts) -> Facts:
    """Make the current facts of this host, with the next sequence number.

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
        troubled=_list_failing_servers(parts, now),
        moves=make_move_facts(parts, now),
        crashes=parts.crash_notes.list_notes(),
    )


def _list_failing_servers(
    parts: HostParts, now: Monotonic
) -> tuple[TroubledServer, ...]:
    weighted = (
        TroubledServer(name, round(server.weigh_own(now), 2))
        for name, server in parts.roster.servers.items()
    )
    failing = [
        report for report in weighted if report.failures >= MIN_TOLD_FAILURES
    ]
    failing.sort(key=lambda report: -report.failures)
    return tuple(failing[:MAX_TOLD_SERVERS])
