"""Wires the exchange of slots between entry hosts."""

from random import Random

from ebonystream._ids import HostId, Seconds, ServerId
from ebonystream._timers import Timers
from ebonystream.backend import (
    Directory,
    MayTake,
    UsualTimes,
)
from ebonystream.peer import AskSlots, GrantSlot
from ebonystream.plan import get_patience
from ebonystream.routing import (
    SlotExchange,
    SlotPeer,
    SlotRegistry,
    make_choosing,
    make_shedding,
)
from ebonystream.settings import Settings


def make_exchange(
    me: SlotPeer,
    *,
    timers: Timers,
    directory: Directory,
    usual: UsualTimes,
    may_take: MayTake,
    random: Random,
) -> SlotExchange:
    """Make the exchange of this host's slots; it holds none yet.

    Args:
        me: This host.
        timers: Tells the time.
        directory: The servers that are known.
        usual: How long calls usually take.
        may_take: Tells whether a server may have a call.
        random: Breaks ties.
    """
    return SlotExchange(
        me=me,
        timers=timers,
        choose=make_choosing(zone=me.zone, may_take=may_take, random=random),
        shed=make_shedding(usual=usual, patience=get_patience),
        send=_send,
        list_peers=tuple,
        find_server=lambda server: directory.servers.get(server),
        random=random,
    )


def make_registry(
    settings: Settings,
    exchange: SlotExchange,
    directory: Directory,
    timers: Timers,
) -> SlotRegistry:
    """Make the registry of the slots that this host is home to.

    Args:
        settings: The checked settings.
        exchange: The slots of this host.
        directory: The servers that are known.
        timers: Tells the time.
    """
    return SlotRegistry(
        exchange=exchange,
        directory=directory,
        slots=settings.backends.slots,
        overlap=settings.backends.queue,
        is_home=_is_home,
        get_confirmed=lambda server: timers.now(),
        get_silence=_get_silence,
    )


def _is_home(server: ServerId) -> bool:
    return True


def _get_silence() -> Seconds:
    return Seconds(0)


def _send(host: HostId, message: AskSlots | GrantSlot) -> None:
    """Drop a message: no peers are known."""
