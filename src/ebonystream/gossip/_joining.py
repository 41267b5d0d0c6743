"""How a host that starts becomes known, and stays connected to all zones."""

from collections.abc import Awaitable, Callable, Sequence
from random import Random

import attrs

from ebonystream._ids import Monotonic, Seconds
from ebonystream._timers import Timers
from ebonystream.errors import EbonystreamError
from ebonystream.gossip._facts import HostFacts
from ebonystream.gossip._registration import RegisteredHost, select_contacts
from ebonystream.gossip._socket import GossipSocket
from ebonystream.gossip._table import HostFactTable

SEED_PERIOD = Seconds(0.05)
"""Interval at which a host that knows no other one contacts the seeds."""

SEED_CONTACTS = 8
"""How often it contacts them before it relies on the registered hosts."""

REGISTERED_PER_ZONE = 3
"""Hosts of each zone that register: its leader, and those that follow it."""

JOIN_PERIOD = Seconds(1)
LISTING_PERIOD = Seconds(15)
"""Interval at which the leader of a zone looks for registered hosts that it
does not know, so that parts of a deployment find one another."""

NEVER = Monotonic(float('-inf'))


Register = Callable[[], Awaitable[None]]
ListHosts = Callable[[], Awaitable[tuple[RegisteredHost, ...]]]


@attrs.frozen(kw_only=True)
class HostRegistry:
    """Functions on the hosts that are registered in the store.

    Both raise `EbonystreamError` if the store fails.

    Attributes:
        register: Registers the local host.
        list_hosts: Lists all hosts that ever registered.
    """

    register: Register
    list_hosts: ListHosts


@attrs.frozen(kw_only=True)
class Joining:
    """Dependencies of a host that becomes known to the others.

    Attributes:
        table: Facts known to the local host.
        gossip_socket: Socket to send on.
        registry: The registered hosts.
        seeds: Addresses of some hosts, which may be out of date.
        own_address: IP address of the local host.
        make_facts: Returns the current facts of the local host.
        on_failure: Called with the reason when the store fails.
        timers: Starts the rounds.
        random: Chooses the hosts to contact.
    """

    table: HostFactTable
    gossip_socket: GossipSocket
    registry: HostRegistry
    seeds: Sequence[str]
    own_address: str
    make_facts: Callable[[], HostFacts]
    on_failure: Callable[[str], None]
    timers: Timers
    random: Random


async def join_hosts(joining: Joining) -> None:
    """Make the local host known, and keep zones connected; never return.

    The seeds introduce a host. Only the first hosts of each zone register in
    the store, and only leaders list those that are registered, so that the
    calls to the store do not grow with the number of hosts.

    Args:
        joining: The dependencies.
    """
    await _contact_seeds(joining)
    is_registered = False
    listed_at = NEVER
    async for now in joining.timers.subscribe(period=JOIN_PERIOD):
        try:
            if not is_registered and _is_registrar(joining.table, now):
                await joining.registry.register()
                is_registered = True
            is_due = now - listed_at >= LISTING_PERIOD
            if is_due and joining.table.is_leader(now):
                await _contact_registered(joining)
                listed_at = now
        except EbonystreamError as error:
            joining.on_failure(str(error))


async def _contact_seeds(joining: Joining) -> None:
    """Contact the seeds until any host is known, but not for long."""
    seeds = [seed for seed in joining.seeds if seed != joining.own_address]
    for _ in range(SEED_CONTACTS):
        await _announce(joining, seeds)
        await joining.timers.wait(SEED_PERIOD)
        if joining.table.list_peers(joining.timers.now()):
            return


async def _contact_registered(joining: Joining) -> None:
    registered = await joining.registry.list_hosts()
    peers = joining.table.list_peers(joining.timers.now())
    contacts = select_contacts(
        registered,
        known=frozenset(
            (joining.own_address, *(facts.address for facts in peers))
        ),
        random=joining.random,
    )
    await _announce(joining, contacts)


async def _announce(joining: Joining, addresses: Sequence[str]) -> None:
    facts = joining.make_facts()
    joining.table.update(facts, joining.timers.now())
    await joining.gossip_socket.send((facts,), addresses)


def _is_registrar(table: HostFactTable, now: Monotonic) -> bool:
    candidates = table.list_candidates(table.local_zone, now)
    first = sorted(facts.host for facts in candidates)[:REGISTERED_PER_ZONE]
    return table.local_host in first
