"""Catching up with the peers, for a host that starts while the log is down."""

from collections.abc import Callable, Sequence

from ebonystream._ids import EpochMs, HostId, Offset, Seconds
from ebonystream._timers import MS_PER_SECOND, Timers
from ebonystream.configuration._control import ControlReplica
from ebonystream.move import Confirmation

CHECK_PERIOD_MS = 250


async def mark_caught_up_with_peers(
    *,
    control: ControlReplica,
    own_host: HostId,
    list_confirmations: Callable[[], Sequence[Confirmation]],
    peer_timeout: Seconds,
    timers: Timers,
) -> None:
    """Mark the control state as caught up once no live peer is ahead of it.

    Runs until it is cancelled.

    Args:
        control: The control state of this host.
        own_host: The id of this host.
        list_confirmations: Lists the latest confirmation of each live entry
            host.
        peer_timeout: How long to wait for an unreachable peer, in seconds.
        timers: Source of the current time and of periodic wake-ups.
    """
    period = Seconds(CHECK_PERIOD_MS / MS_PER_SECOND)
    async for _ in timers.subscribe(period=period):
        if control.progress.caught_up:
            continue
        peers = [peer for peer in list_confirmations() if peer.host != own_host]
        unreachable_before_ms = timers.wall_ms() - peer_timeout * MS_PER_SECOND
        newest_offset = find_newest_offset(
            peers, unreachable_before_ms=EpochMs(int(unreachable_before_ms))
        )
        if newest_offset is not None:
            control.progress.confirm_caught_up(newest_offset)


def find_newest_offset(
    peers: Sequence[Confirmation], *, unreachable_before_ms: EpochMs
) -> Offset | None:
    """Return the greatest next offset of the reachable peers.

    The result is None while no peer is reachable, or while the wait for an
    unreachable one is not over.

    Args:
        peers: The latest confirmation of each other live entry host.
        unreachable_before_ms: A peer that has been unreachable since this time
            or longer is ignored.
    """
    offsets = [
        peer.control_next for peer in peers if peer.unreachable_since_ms is None
    ]
    unreachable_since = [
        peer.unreachable_since_ms
        for peer in peers
        if peer.unreachable_since_ms is not None
    ]
    if not offsets or any(
        since > unreachable_before_ms for since in unreachable_since
    ):
        return None
    return max(offsets)
