"""The tasks of the membership: one for each peer."""

from collections.abc import Callable
from random import Random

import attrs
import trio

from ebonystream._ids import HostId, Monotonic
from ebonystream._timers import Timers
from ebonystream.membership._contents import FillHeartbeat
from ebonystream.membership._member import Member
from ebonystream.membership._membership import Membership
from ebonystream.peer import Heartbeat

MIN_PERIOD_SHARE = 0.8
"""Periods are cut by chance to between this share and the whole, so that the
heartbeats of many hosts don't fall together."""


@attrs.frozen(kw_only=True)
class Links:
    """The ways to the peers.

    Attributes:
        send: Sends a heartbeat, best effort.
        connect: Opens the way to a peer.
        disconnect: Closes it.
        fill: Gives the contents of heartbeats.
        timers: Tells the time.
        random: Spreads the heartbeats.
    """

    send: Callable[[HostId, Heartbeat], None]
    connect: Callable[[HostId, str, int], None]
    disconnect: Callable[[HostId], None]
    fill: FillHeartbeat
    timers: Timers
    random: Random


async def watch_members(membership: Membership, links: Links) -> None:
    """Watch each member in a task of its own, for ever.

    Args:
        membership: The members; each new one gets its task.
        links: The ways to them.
    """
    async with trio.open_nursery() as nursery:
        while True:
            for member in membership.table.peers.values():
                if not member.watched:
                    member.watched = True
                    nursery.start_soon(_watch_peer, member, membership, links)
            await membership.watch.wait()


async def _watch_peer(
    member: Member, membership: Membership, links: Links
) -> None:
    peers = membership.table.peers
    host = member.place.host
    while peers.get(host) is member:
        links.connect(host, member.place.address, member.place.port)
        now = links.timers.now()
        links.send(host, membership.make_heartbeat(member, links.fill(), now))
        await _wait_for_tick(member, membership, links)
        membership.judge(member, links.timers.now())
    # A member of the same name that came meanwhile keeps the way open.
    if host not in peers:
        links.disconnect(host)


async def _wait_for_tick(
    member: Member, membership: Membership, links: Links
) -> None:
    share = links.random.uniform(MIN_PERIOD_SHARE, 1)
    due = Monotonic(links.timers.now() + share * membership.pace.period)
    with trio.move_on_at(due):
        await member.wake.wait()
