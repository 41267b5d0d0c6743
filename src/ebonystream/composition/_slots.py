"""Wires the exchange of slots between entry hosts."""

from collections.abc import Callable
from random import Random

from ebonystream._ids import HostId, Monotonic, Seconds, ServerId, ZoneName
from ebonystream._timers import Timers
from ebonystream.backend import (
    Directory,
    MayTake,
    UsualLatencies,
)
from ebonystream.composition._peers import Peers
from ebonystream.membership import MemberState
from ebonystream.peer import AskSlots, GrantSlot, PeerNote, TakeNote
from ebonystream.plan import get_max_wait_fraction
from ebonystream.routing import (
    RETURN_MARKER,
    SlotExchange,
    SlotPeer,
    SlotRegistry,
    make_choose_slot,
    make_shed_calls,
)
from ebonystream.settings import Settings

FindHome = Callable[[ServerId], HostId | None]
"""Gives the entry host that is home to a server's slots."""

SILENCE = 3
"""Seconds without news after which a slot is made again.

Longer than any lease together with what a grant and a short call take.
"""


def make_exchange(
    *,
    timers: Timers,
    directory: Directory,
    usual: UsualLatencies,
    may_take: MayTake,
    is_out: Callable[[ZoneName], bool],
    peers: Peers,
) -> SlotExchange:
    """Make the exchange of this host's slots; it holds none yet.

    Args:
        timers: Tells the time.
        directory: The servers that are known.
        usual: How long calls usually take.
        may_take: Tells whether a server may have a call.
        is_out: Tells whether operators took a zone out.
        peers: The other entry hosts.
    """
    own = peers.membership.table.own
    random = Random(own.incarnation)
    return SlotExchange(
        local_host=SlotPeer(own.host, own.zone),
        timers=timers,
        choose_slot=make_choose_slot(
            zone=own.zone, may_take=may_take, random=random
        ),
        shed_calls=make_shed_calls(
            usual_durations=usual, get_max_wait_share=get_max_wait_fraction
        ),
        send=peers.exchange.send_note,
        is_zone_out=is_out,
        list_peers=lambda: _list_peers(peers),
        find_server=lambda server: directory.servers.get(server),
        random=random,
    )


def make_registry(
    settings: Settings,
    exchange: SlotExchange,
    directory: Directory,
    peers: Peers,
    find_sponsor: FindHome,
) -> SlotRegistry:
    """Make the registry of the slots that this host is home to.

    Args:
        settings: The checked settings.
        exchange: The slots of this host.
        directory: The servers that are known.
        peers: The other entry hosts.
        find_sponsor: Gives the sponsor of a starting server, which alone may
            use its slots and so is home to them.
    """
    table = peers.membership.table

    def find_home(server_id: ServerId) -> HostId | None:
        server = directory.servers.get(server_id)
        if server is not None and server.lifecycle.is_starting:
            return find_sponsor(server_id)
        return table.find_owner(server_id)

    def get_confirmed(server: ServerId) -> Monotonic:
        home = table.peers.get(find_home(server) or table.own.host)
        life = None if home is None else home.life
        return Monotonic(-1) if life is None else life.echoed_at

    return SlotRegistry(
        exchange=exchange,
        directory=directory,
        slots_per_server=settings.backends.slots,
        overlap_per_server=settings.backends.queue,
        find_home=find_home,
        get_confirmed_at=get_confirmed,
        get_recreation_delay=lambda: Seconds(SILENCE if table.peers else 0),
        is_leaving=lambda: table.leaving,
    )


def make_note_taker(registry: SlotRegistry, settings: Settings) -> TakeNote:
    """Make the function that takes what peers say about slots.

    Args:
        registry: The slots of this host.
        settings: The checked settings.
    """
    exchange = registry.exchange
    slots = settings.backends.slots + settings.backends.queue

    def take_note(sender: HostId, note: PeerNote) -> None:
        if isinstance(note, GrantSlot) and 0 <= note.number < slots:
            _take_grant(registry, note)
        elif isinstance(note, AskSlots) and note.host == sender:
            exchange.handle_request(note)
        else:
            exchange.counts.messages_dropped += 1

    return take_note


def _take_grant(registry: SlotRegistry, grant: GrantSlot) -> None:
    if grant.asked_ms == RETURN_MARKER:
        registry.handle_return(grant)
    else:
        registry.exchange.handle_grant(grant)


def _list_peers(peers: Peers) -> list[SlotPeer]:
    return [
        SlotPeer(member.place.host, member.place.zone)
        for member in peers.membership.table.peers.values()
        if member.state is MemberState.REACHABLE
    ]
