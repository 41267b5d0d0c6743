"""Tasks that send heartbeats: one for each peer."""

import math
from collections.abc import Callable
from random import Random

import attrs
import trio

from ebonystream._ids import HostId, Monotonic
from ebonystream._timers import Timers
from ebonystream.membership._contents import MakeHeartbeatContents
from ebonystream.membership._member import Member
from ebonystream.membership._membership import Membership
from ebonystream.membership._timing import HeartbeatTiming
from ebonystream.peer import Heartbeat

MIN_PERIOD_SHARE = 0.1
"""Share of a period; a heartbeat that is due sooner than that is skipped."""


@attrs.frozen(kw_only=True)
class HeartbeatLinks:
    """Means of sending heartbeats to peers.

    Attributes:
        send: Sends a heartbeat, without retrying.
        connect: Opens the connection to a peer.
        disconnect: Closes the connection to a peer.
        make_contents: Returns the contents of the next heartbeat.
        timers: Source of the current time.
        random: Chooses the phase of the heartbeats of this host, so that
            hosts do not all send at the same time.
    """

    send: Callable[[HostId, Heartbeat], None]
    connect: Callable[[HostId, str, int], None]
    disconnect: Callable[[HostId], None]
    make_contents: MakeHeartbeatContents
    timers: Timers
    random: Random


async def send_heartbeats(
    membership: Membership, links: HeartbeatLinks
) -> None:
    """Send heartbeats to each member in a task of its own, without end.

    Args:
        membership: Members; a task is started for each new one.
        links: Means of sending heartbeats.
    """
    phase = links.random.random()
    async with trio.open_nursery() as nursery:
        while True:
            for member in membership.table.peers.values():
                if not member.has_send_task:
                    member.has_send_task = True
                    nursery.start_soon(
                        _send_to_peer, member, membership, links, phase
                    )
            await membership.changed.wait()


async def _send_to_peer(
    member: Member, membership: Membership, links: HeartbeatLinks, phase: float
) -> None:
    peers = membership.table.peers
    host = member.listing.host
    while peers.get(host) is member:
        links.connect(host, member.listing.address, member.listing.port)
        now = links.timers.now()
        links.send(
            host, membership.make_heartbeat(member, links.make_contents(), now)
        )
        with trio.move_on_at(_find_next_send(now, phase, membership.timing)):
            await member.wake.wait()
        membership.update_state(member, links.timers.now())
    # If the host was listed again meanwhile, its new task uses the connection.
    if host not in peers:
        links.disconnect(host)


def _find_next_send(
    now: Monotonic, phase: float, timing: HeartbeatTiming
) -> Monotonic:
    """Return the time of the next heartbeat, the same for all peers.

    All heartbeats of one host are then sent in one turn of the event loop,
    which is cheap.
    """
    periods = math.floor(now / timing.period - phase + MIN_PERIOD_SHARE) + 1
    return Monotonic((periods + phase) * timing.period)
