"""Wiring of the exchange of slots between entry hosts."""

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
from ebonystream.peer import OnSlotMessage, SlotGrant, SlotMessage, SlotRequest
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
"""Returns the entry host that is the home of a server's slots; None if there is
none."""

RECREATION_DELAY = 3
"""Time without a report of a slot after which it is recreated, in seconds.

This is longer than any lease plus the duration of a grant and a short call.
"""


def make_slot_exchange(
    *,
    timers: Timers,
    directory: Directory,
    usual_latencies: UsualLatencies,
    may_take: MayTake,
    is_zone_out: Callable[[ZoneName], bool],
    peers: Peers,
) -> SlotExchange:
    """Make the exchange of slots with peers, without any slots.

    Args:
        timers: Source of the current time.
        directory: The known servers.
        usual_latencies: Usual latencies of calls.
        may_take: Returns whether a server may take a call.
        is_zone_out: Returns whether operators took a zone out of service.
        peers: The other entry hosts.
    """
    identity = peers.membership.table.local
    random = Random(identity.incarnation)
    return SlotExchange(
        local_host=SlotPeer(identity.host, identity.zone),
        timers=timers,
        choose_slot=make_choose_slot(
            zone=identity.zone, may_take=may_take, random=random
        ),
        shed_calls=make_shed_calls(
            usual_latencies=usual_latencies,
            get_max_wait_fraction=get_max_wait_fraction,
        ),
        send=peers.exchange.send_slot_message,
        is_zone_out=is_zone_out,
        list_peers=lambda: _list_peers(peers),
        find_server=lambda server: directory.servers.get(server),
        random=random,
    )


def make_slot_registry(
    settings: Settings,
    slot_exchange: SlotExchange,
    directory: Directory,
    peers: Peers,
    find_sponsor: FindHome,
) -> SlotRegistry:
    """Make the registry of the slots that this host is the home of.

    Args:
        settings: The checked settings.
        slot_exchange: The slots that this host holds.
        directory: The known servers.
        peers: The other entry hosts.
        find_sponsor: Returns the sponsor of a starting server. Only the sponsor
            may use the slots of the server, so it is their home.
    """
    table = peers.membership.table

    def find_home(server_id: ServerId) -> HostId | None:
        server = directory.servers.get(server_id)
        if server is not None and server.lifecycle.is_starting:
            return find_sponsor(server_id)
        return table.find_owner(server_id)

    def get_confirmed_at(server: ServerId) -> Monotonic:
        home = table.peers.get(find_home(server) or table.local.host)
        confirmed = None if home is None else home.confirmed
        return Monotonic(-1) if confirmed is None else confirmed.echoed_at

    return SlotRegistry(
        exchange=slot_exchange,
        directory=directory,
        slots_per_server=settings.backends.slots,
        overlap_per_server=settings.backends.queue,
        find_home=find_home,
        get_confirmed_at=get_confirmed_at,
        get_recreation_delay=lambda: Seconds(
            RECREATION_DELAY if table.peers else 0
        ),
        is_leaving=lambda: table.leaving,
    )


def make_handle_slot_message(
    slot_registry: SlotRegistry, settings: Settings
) -> OnSlotMessage:
    """Make the function that handles messages of peers about slots.

    Args:
        slot_registry: The slots that this host is the home of.
        settings: The checked settings.
    """
    slot_exchange = slot_registry.exchange
    slots_per_server = settings.backends.slots + settings.backends.queue

    def handle_message(sender: HostId, message: SlotMessage) -> None:
        if (
            isinstance(message, SlotGrant)
            and 0 <= message.number < slots_per_server
        ):
            _handle_grant(slot_registry, message)
        elif isinstance(message, SlotRequest) and message.host == sender:
            slot_exchange.handle_request(message)
        else:
            slot_exchange.counts.messages_dropped += 1

    return handle_message


def _handle_grant(slot_registry: SlotRegistry, grant: SlotGrant) -> None:
    if grant.asked_ms == RETURN_MARKER:
        slot_registry.handle_return(grant)
    else:
        slot_registry.exchange.handle_grant(grant)


def _list_peers(peers: Peers) -> list[SlotPeer]:
    return [
        SlotPeer(member.listing.host, member.listing.zone)
        for member in peers.membership.table.peers.values()
        if member.state is MemberState.REACHABLE
    ]
