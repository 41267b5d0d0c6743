"""Gossip rounds: frequent within a zone, between zones through leaders."""

from collections.abc import Callable, Sequence
from random import Random

from ebonystream._ids import Monotonic, Seconds
from ebonystream._timers import Timers
from ebonystream.gossip._facts import Facts
from ebonystream.gossip._socket import Datagrams
from ebonystream.gossip._table import FactTable

BEAT_PERIOD = Seconds(0.5)
"""Interval between gossip rounds within a zone."""

CALM_FAR_BEATS = 2
"""Rounds per send to other zones, unless gossip is urgent."""

MakeFacts = Callable[[], Facts]
"""Return the current facts of the local host."""

IsBusy = Callable[[], bool]
"""Return whether leaders send to other zones in every round."""

Hear = Callable[[Facts], None]
"""Callback for the facts of each host that are received."""


async def tell_peers(
    table: FactTable,
    datagrams: Datagrams,
    *,
    make_facts: MakeFacts,
    is_busy: IsBusy,
    timers: Timers,
    random: Random,
) -> None:
    """Send gossip to peers in rounds, without end.

    Each host sends its own facts within its zone. The leader of a zone also
    forwards facts between its zone and the others.

    Args:
        table: Facts known to the local host.
        datagrams: Socket to send on.
        make_facts: Returns the current facts of the local host.
        is_busy: Returns whether gossip between zones is urgent, such as
            during a version move.
        timers: Starts the rounds.
        random: Chooses the receiver in a zone without a live host.
    """
    round_number = 0
    async for now in timers.subscribe(period=BEAT_PERIOD):
        round_number += 1
        own = make_facts()
        table.take(own, now)
        await _send_within_zone(table, datagrams, own, now)
        if is_busy() or round_number % CALM_FAR_BEATS == 0:
            await _send_to_other_zones(table, datagrams, now, random)


async def hear_peers(
    table: FactTable, datagrams: Datagrams, *, hear: Hear, timers: Timers
) -> None:
    """Receive gossip from peers, without end.

    A host that is unknown or has restarted is sent all known facts.

    Args:
        table: Stores the facts.
        datagrams: Socket to receive on, and to reply on.
        hear: Called with the facts of each host that are received, also if
            newer ones are known.
        timers: Source of the time of receipt.
    """
    while True:
        for facts in await datagrams.receive():
            if facts.host == table.own:
                continue
            now = timers.now()
            is_new = table.take(facts, now)
            hear(facts)
            if is_new:
                await datagrams.send(table.list_alive(now), [facts.address])


async def _send_within_zone(
    table: FactTable, datagrams: Datagrams, own: Facts, now: Monotonic
) -> None:
    addresses = [
        facts.address
        for facts in table.list_peers(now)
        if facts.zone == table.zone
    ]
    batch: Sequence[Facts] = (own,)
    if table.is_speaker(now):
        remote = (
            facts for facts in table.list_alive(now) if facts.zone != table.zone
        )
        batch = (own, *remote)
    await datagrams.send(batch, addresses)


async def _send_to_other_zones(
    table: FactTable, datagrams: Datagrams, now: Monotonic, random: Random
) -> None:
    if not table.is_speaker(now):
        return
    leaders = table.list_far_speakers(now, random)
    local = [
        facts for facts in table.list_alive(now) if facts.zone == table.zone
    ]
    await datagrams.send(local, [leader.address for leader in leaders])


async def greet(
    table: FactTable,
    datagrams: Datagrams,
    addresses: Sequence[str],
    *,
    now: Monotonic,
) -> None:
    """Send all known facts to hosts that may not know the local one.

    Args:
        table: Facts known to the local host.
        datagrams: Socket to send on.
        addresses: IP addresses of the receiving hosts.
        now: Current time.
    """
    await datagrams.send(table.list_alive(now), addresses)
