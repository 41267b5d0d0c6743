"""Telling facts: often within a zone, through one speaker between zones."""

from collections.abc import Callable, Sequence
from random import Random

from ebonystream._ids import Monotonic, Seconds
from ebonystream._timers import Timers
from ebonystream.gossip._facts import HostFacts
from ebonystream.gossip._socket import GossipSocket
from ebonystream.gossip._table import HostFactTable

ROUND_PERIOD = Seconds(0.5)
"""How often a host tells the hosts of its zone."""

ROUNDS_PER_REMOTE_SEND = 2
"""Between zones a speaker tells at each beat of this number, when calm."""

MakeFacts = Callable[[], HostFacts]
"""Makes the newest facts of this host."""

IsUrgent = Callable[[], bool]
"""Tells whether speakers should tell at each beat."""

OnFacts = Callable[[HostFacts], None]
"""Is told of each fact that was heard and was new."""


async def send_gossip(
    table: HostFactTable,
    datagrams: GossipSocket,
    *,
    make_facts: MakeFacts,
    is_urgent: IsUrgent,
    timers: Timers,
    random: Random,
) -> None:
    """Tell this host's facts, and others' where it is a speaker, for ever.

    Args:
        table: The facts that are known.
        datagrams: Carries them.
        make_facts: Makes this host's own.
        is_urgent: Tells whether a move or an outage asks for haste.
        timers: Tells the time.
        random: Picks whom to tell in a zone that is silent.
    """
    beat = 0
    async for now in timers.subscribe(period=ROUND_PERIOD):
        beat += 1
        own = make_facts()
        table.update(own, now)
        await _tell_zone(table, datagrams, own, now)
        if is_urgent() or beat % ROUNDS_PER_REMOTE_SEND == 0:
            await _tell_far(table, datagrams, now, random)


async def receive_gossip(
    table: HostFactTable,
    datagrams: GossipSocket,
    *,
    on_facts: OnFacts,
    timers: Timers,
) -> None:
    """Take in what peers tell, for ever; greet those that were not known.

    Args:
        table: Where facts are kept.
        datagrams: Carries them.
        on_facts: Is told of each.
        timers: Tells the time.
    """
    while True:
        for facts in await datagrams.receive():
            if facts.host == table.local_host:
                continue
            now = timers.now()
            unknown = table.update(facts, now)
            on_facts(facts)
            if unknown:
                await datagrams.send(table.list_alive(now), [facts.address])


async def _tell_zone(
    table: HostFactTable,
    datagrams: GossipSocket,
    own: HostFacts,
    now: Monotonic,
) -> None:
    mates = [
        facts.address
        for facts in table.list_peers(now)
        if facts.zone == table.local_zone
    ]
    told: Sequence[HostFacts] = (own,)
    if table.is_leader(now):
        far = (
            facts
            for facts in table.list_alive(now)
            if facts.zone != table.local_zone
        )
        told = (own, *far)
    await datagrams.send(told, mates)


async def _tell_far(
    table: HostFactTable,
    datagrams: GossipSocket,
    now: Monotonic,
    random: Random,
) -> None:
    if not table.is_leader(now):
        return
    speakers = table.select_remote_leaders(now, random)
    mates = [
        facts
        for facts in table.list_alive(now)
        if facts.zone == table.local_zone
    ]
    await datagrams.send(mates, [speaker.address for speaker in speakers])


async def announce(
    table: HostFactTable,
    datagrams: GossipSocket,
    addresses: Sequence[str],
    *,
    now: Monotonic,
) -> None:
    """Tell a first word to hosts that may not know this one.

    Args:
        table: The facts that are known.
        datagrams: Carries them.
        addresses: The IP numbers of the hosts.
        now: The time.
    """
    await datagrams.send(table.list_alive(now), addresses)
