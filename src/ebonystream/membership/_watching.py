"""Tasks that send heartbeats: one for each peer."""

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
"""Share of a period; a heartbeat that is due sooner than that is skipped."""


@attrs.frozen(kw_only=True)
class Links:
    """Means of sending heartbeats to peers.

    Attributes:
        send: Sends a heartbeat, without retrying.
        connect: Opens the connection to a peer.
        disconnect: Closes the connection to a peer.
        fill: Returns the contents of the next heartbeat.
        timers: Source of the current time.
        random: Chooses the phase of the heartbeats of this host, so that
            hosts do not all send at the same time.
    """

    send: Callable[[HostId, Heartbeat], None]
    connect: Callable[[HostId, str, int], None]
    disconnect: Callable[[HostId], None]
    fill: FillHeartbeat
    timers: Timers
    random: Random


async def watch_members(membership: Membership, links: Links) -> None:
    """Send heartbeats to each member in a task of its own, without end.

    Args:
        membership: Members; a task is started for each new one.
        links: Means of sending heartbeats.
    """
    phase = links.random.random()
    async with trio.open_nursery() as nursery:
        while True:
            for member in membership.table.peers.values():
                if not member.watched:
                    member.watched = True
                    nursery.start_soon(
                        _send_heartbeats, member, membership, links, phase
                    )
            await membership.watch.wait()


async def _send_heartbeats(
    member: Member, membership: Membership, links: Links, phase: float
) -> None:
    peers = membership.table.peers
    host = member.place.host
    while peers.get(host) is member:
        links.connect(host, member.place.address, member.place.port)
        now = links.timers.now()
        links.send(host, membership.make_heartbeat(member, links.fill(), now))
        with trio.move_on_at(_find_next_send(now, phase, membership.pace)):
            await member.wake.wait()
        membership.judge(member, links.timers.now())
    # If the host was listed again meanwhile, its new task uses the connection.
    if host not in peers:
        links.disconnect(host)


def _find_next_send(now: Monotonic, phase: float, pace: Pace) -> Monotonic:
    """Return the time of the next heartbeat, the same for all peers.

    All heartbeats of one host are then sent in one turn of the event loop,
    which is cheap.
    """
    periods = math.floor(now / pace.period - phase + SKIPPED_SHARE) + 1
    return Monotonic((periods + phase) * pace.period)
