"""The tasks of the membership: one for each peer."""

import math
from collections.abc import Callable
from random import Random

import attrs
import trio

from ebonystream._ids import HostId, Monotonic
from ebonystream._timers import Timers
from ebonystream.membership._contents import FillHeartbeat
from ebonystream.membership._member import Member
from ebonystream.membership._membership import Membership
from ebonystream.membership._pace import Pace
from ebonystream.peer import Heartbeat

SKIPPED_SHARE = 0.1
"""A tick that is less than this share of a period ahead is skipped."""


@attrs.frozen(kw_only=True)
class Links:
    """The ways to the peers.

    Attributes:
        send: Sends a heartbeat, best effort.
        connect: Opens the way to a peer.
        disconnect: Closes it.
        fill: Gives the contents of heartbeats.
        timers: Tells the time.
        random: Sets this host's heartbeats apart from those of others.
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
    phase = links.random.random()
    async with trio.open_nursery() as nursery:
        while True:
            for member in membership.table.peers.values():
                if not member.watched:
                    member.watched = True
                    nursery.start_soon(
                        _watch_peer, member, membership, links, phase
                    )
            await membership.watch.wait()


async def _watch_peer(
    member: Member, membership: Membership, links: Links, phase: float
) -> None:
    peers = membership.table.peers
    host = member.place.host
    while peers.get(host) is member:
        links.connect(host, member.place.address, member.place.port)
        now = links.timers.now()
        links.send(host, membership.make_heartbeat(member, links.fill(), now))
        with trio.move_on_at(_find_tick(now, phase, membership.pace)):
            await member.wake.wait()
        membership.judge(member, links.timers.now())
    # A member of the same name that came meanwhile keeps the way open.
    if host not in peers:
        links.disconnect(host)


def _find_tick(now: Monotonic, phase: float, pace: Pace) -> Monotonic:
    """Give the next time of a heartbeat, the same for all peers.

    Those of one host go out in one turn of the event loop, which is cheap.
    """
    periods = math.floor(now / pace.period - phase + SKIPPED_SHARE) + 1
    return Monotonic((periods + phase) * pace.period)
