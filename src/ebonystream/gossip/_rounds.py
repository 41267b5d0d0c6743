"""Gossip rounds: frequent within a zone, between zones through leaders."""

from collections.abc import Callable, Sequence
from random import Random

from ebonystream._ids import HostId, Incarnation, Monotonic, Seconds
from ebonystream._timers import Timers
from ebonystream.gossip._facts import HostFacts
from ebonystream.gossip._introduction import select_introduction
from ebonystream.gossip._socket import GossipSocket
from ebonystream.gossip._table import HostFactTable

ROUND_PERIOD = Seconds(0.5)
"""Interval between gossip rounds within a zone."""

ROUNDS_PER_REMOTE_SEND = 2
"""Rounds per send to other zones, unless gossip is urgent."""

ROUNDS_PER_FULL_SEND = 8
"""Rounds per send of all facts from a leader to its zone, so that hosts that
missed one another's first facts become known."""

NEVER = Monotonic(float('-inf'))

MakeFacts = Callable[[], HostFacts]
"""Return the current facts of the local host."""

IsUrgent = Callable[[], bool]
"""Return whether facts are sent to other zones in every round."""

OnFacts = Callable[[HostFacts], None]
"""Callback for the facts of each host that are received."""


async def send_gossip(
    table: HostFactTable,
    gossip_socket: GossipSocket,
    *,
    make_facts: MakeFacts,
    is_urgent: IsUrgent,
    timers: Timers,
    random: Random,
) -> None:
    """Send gossip to peers in rounds, without end.

    Each host sends its own facts within its zone. The leader of a zone also
    forwards facts between its zone and the others.

    Args:
        table: Facts known to the local host.
        gossip_socket: Socket to send on.
        make_facts: Returns the current facts of the local host.
        is_urgent: Returns whether gossip between zones is urgent, such as
            during a version move.
        timers: Starts the rounds.
        random: Chooses the receiver in a zone without a live host.
    """
    round_number = 0
    forwarded_at = NEVER
    async for now in timers.subscribe(period=ROUND_PERIOD):
        round_number += 1
        own_facts = make_facts()
        table.update(own_facts, now)
        is_full = round_number % ROUNDS_PER_FULL_SEND == 0
        await _send_within_zone(
            table,
            gossip_socket,
            own_facts,
            now=now,
            since=NEVER if is_full else forwarded_at,
        )
        forwarded_at = now
        if is_urgent() or round_number % ROUNDS_PER_REMOTE_SEND == 0:
            await _send_to_other_zones(table, gossip_socket, now, random)


async def receive_gossip(
    table: HostFactTable,
    gossip_socket: GossipSocket,
    *,
    on_facts: OnFacts,
    timers: Timers,
) -> None:
    """Receive gossip from peers, without end.

    A host is introduced to the others when its facts first come from itself.

    Args:
        table: Stores the facts.
        gossip_socket: Socket to receive on, and to reply on.
        on_facts: Called with the facts of each host that are received, also if
            newer ones are known.
        timers: Source of the time of receipt.
    """
    met: dict[HostId, Incarnation] = {}
    while True:
        received = await gossip_socket.receive()
        for facts in received.facts:
            if facts.host == table.local_host:
                continue
            now = timers.now()
            table.update(facts, now)
            on_facts(facts)
            is_met = met.get(facts.host) == facts.incarnation
            if facts.address == received.sender and not is_met:
                met[facts.host] = facts.incarnation
                introduction = select_introduction(table, facts, now)
                await gossip_socket.send(introduction, [facts.address])


async def _send_within_zone(
    table: HostFactTable,
    gossip_socket: GossipSocket,
    own_facts: HostFacts,
    *,
    now: Monotonic,
    since: Monotonic,
) -> None:
    """Send the facts of the local host; a leader also forwards others.

    These are the facts of other zones that it has received since the last
    round, or the facts of all hosts if it has never forwarded any.
    """
    addresses = [
        facts.address
        for facts in table.list_peers(now)
        if facts.zone == table.local_zone
    ]
    batch: Sequence[HostFacts] = (own_facts,)
    if table.is_leader(now):
        batch = [
            facts
            for facts in table.list_updated(since, now)
            if since == NEVER
            or facts.zone != table.local_zone
            or facts.host == table.local_host
        ]
    await gossip_socket.send(batch, addresses)


async def _send_to_other_zones(
    table: HostFactTable,
    gossip_socket: GossipSocket,
    now: Monotonic,
    random: Random,
) -> None:
    if not table.is_leader(now):
        return
    leaders = table.select_remote_leaders(now, random)
    local_facts = [
        facts
        for facts in table.list_alive(now)
        if facts.zone == table.local_zone
    ]
    await gossip_socket.send(
        local_facts, [leader.address for leader in leaders]
    )
