"""Telling facts: often within a zone, through one speaker between zones."""

from collections.abc import Callable, Sequence
from random import Random

from ebonystream._ids import Monotonic, Seconds
from ebonystream._timers import Timers
from ebonystream.gossip._facts import Facts
from ebonystream.gossip._socket import Datagrams
from ebonystream.gossip._table import FactTable

BEAT_PERIOD = Seconds(0.5)
"""How often a host tells the hosts of its zone."""

CALM_FAR_BEATS = 2
"""Between zones a speaker tells at each beat of this number, when calm."""

MakeFacts = Callable[[], Facts]
"""Makes the newest facts of this host."""

IsBusy = Callable[[], bool]
"""Tells whether speakers should tell at each beat."""

Hear = Callable[[Facts], None]
"""Is told of each fact that was heard and was new."""


async def tell_peers(
    table: FactTable,
    datagrams: Datagrams,
    *,
    make_facts: MakeFacts,
    is_busy: IsBusy,
    timers: Timers,
    random: Random,
) -> None:
    """Tell this host's facts, and others' where it is a speaker, for ever.

    Args:
        table: The facts that are known.
        datagrams: Carries them.
        make_facts: Makes this host's own.
        is_busy: Tells whether a move or an outage asks for haste.
        timers: Tells the time.
        random: Picks whom to tell in a zone that is silent.
    """
    beat = 0
    async for now in timers.subscribe(period=BEAT_PERIOD):
        beat += 1
        own = make_facts()
        table.take(own, now)
        await _tell_zone(table, datagrams, own, now)
        if is_busy() or beat % CALM_FAR_BEATS == 0:
            await _tell_far(table, datagrams, now, random)


async def hear_peers(
    table: FactTable, datagrams: Datagrams, *, hear: Hear, timers: Timers
) -> None:
    """Take in what peers tell, for ever; greet those that were not known.

    Args:
        table: Where facts are kept.
        datagrams: Carries them.
        hear: Is told of each.
        timers: Tells the time.
    """
    while True:
        for facts in await datagrams.receive():
            if facts.host == table.own:
                continue
            now = timers.now()
            unknown = table.take(facts, now)
            hear(facts)
            if unknown:
                await datagrams.send(table.list_alive(now), [facts.address])


async def _tell_zone(
    table: FactTable, datagrams: Datagrams, own: Facts, now: Monotonic
) -> None:
    mates = [
        facts.address
        for facts in table.list_peers(now)
        if facts.zone == table.zone
    ]
    told: Sequence[Facts] = (own,)
    if table.is_speaker(now):
        far = (
            facts for facts in table.list_alive(now) if facts.zone != table.zone
        )
        told = (own, *far)
    await datagrams.send(told, mates)


async def _tell_far(
    table: FactTable, datagrams: Datagrams, now: Monotonic, random: Random
) -> None:
    if not table.is_speaker(now):
        return
    speakers = table.list_far_speakers(now, random)
    mates = [
        facts for facts in table.list_alive(now) if facts.zone == table.zone
    ]
    await datagrams.send(mates, [speaker.address for speaker in speakers])


async def greet(
    table: FactTable,
    datagrams: Datagrams,
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
