"""Wires the policy under load: slots, routing and what is learned of both."""

from random import Random

import attrs

from ebonystream._ids import HostId, Incarnation, Seconds, ServerId
from ebonystream._timers import Timers
from ebonystream.backend import (
    BackendServer,
    Directory,
    MayTake,
    Observe,
    Place,
    SlotExchange,
    SlotPeer,
    SlotRegistry,
    UsualTimes,
    make_choosing,
    make_learning,
    make_placing,
)
from ebonystream.call import Call
from ebonystream.peer import AskSlots, GrantSlot
from ebonystream.settings import Settings

CHECK_PERIOD = 0.1
"""How often missing slots are looked for, in seconds."""


@attrs.frozen(kw_only=True)
class Policy:
    """What the policy of one entry host is made of.

    Attributes:
        timers: Tells the time.
        exchange: The slots of this host.
        registry: Makes slots that nobody holds.
        place: Finds a server for a call.
        learn: Learns from an attempt and frees its slot; the first observer.
    """

    timers: Timers
    exchange: SlotExchange
    registry: SlotRegistry
    place: Place
    learn: Observe


def make_policy(
    settings: Settings,
    *,
    timers: Timers,
    directory: Directory,
    incarnation: Incarnation,
) -> Policy:
    """Make the policy of one entry host; nothing runs yet.

    Args:
        settings: The checked settings.
        timers: Tells the time.
        directory: The servers that are known.
        incarnation: Seeds the random choices.
    """
    exchange = _make_exchange(
        SlotPeer(settings.host.id, settings.host.zone),
        timers=timers,
        directory=directory,
        random=Random(incarnation),
    )
    return Policy(
        timers=timers,
        exchange=exchange,
        registry=SlotRegistry(
            exchange=exchange,
            directory=directory,
            slots=settings.backends.slots,
            overlap=settings.backends.queue,
            is_home=_is_home,
            get_confirmed=lambda server: timers.now(),
            get_silence=_get_silence,
        ),
        place=make_placing(
            exchange=exchange,
            directory=directory,
            may_take=_may_take,
            rank=_rank,
            timers=timers,
        ),
        learn=make_learning(
            exchange=exchange, usual=UsualTimes(), timers=timers
        ),
    )


async def keep_slots(policy: Policy) -> None:
    """Make the slots that nobody holds, for ever."""
    async for _ in policy.timers.subscribe(period=Seconds(CHECK_PERIOD)):
        policy.registry.check()


def _make_exchange(
    me: SlotPeer, *, timers: Timers, directory: Directory, random: Random
) -> SlotExchange:
    may_take: MayTake = _may_take
    return SlotExchange(
        me=me,
        timers=timers,
        choose=make_choosing(zone=me.zone, may_take=may_take, random=random),
        send=_send,
        list_peers=tuple,
        find_server=lambda server: directory.servers.get(server),
        random=random,
    )


def _may_take(call: Call, server: BackendServer) -> bool:
    return call.service == server.service


def _rank(call: Call) -> int:
    return 0


def _is_home(server: ServerId) -> bool:
    return True


def _get_silence() -> Seconds:
    return Seconds(0)


def _send(host: HostId, message: AskSlots | GrantSlot) -> None:
    """Drop a message: no peers are known."""
