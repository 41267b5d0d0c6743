"""Settling: a host that can't read the log learns that it knows all."""

from collections.abc import Callable, Sequence

from ebonystream._ids import EpochMs, HostId, Offset, Seconds
from ebonystream._timers import MS_PER_SECOND, Timers
from ebonystream.configuration._control import Control
from ebonystream.move import Confirmation

CHECK_PERIOD_MS = 250


async def settle_control(
    *,
    control: Control,
    own: HostId,
    list_confirmations: Callable[[], Sequence[Confirmation]],
    patience: Seconds,
    timers: Timers,
) -> None:
    """Let the control state count as caught up with the peers, for ever.

    Args:
        control: The state that this host folds.
        own: This host.
        list_confirmations: Gives the newest word of each live entry host.
        patience: How long a peer that was not heard is waited for, in seconds.
        timers: Tells the time.
    """
    period = Seconds(CHECK_PERIOD_MS / MS_PER_SECOND)
    async for _ in timers.subscribe(period=period):
        if control.progress.caught_up:
            continue
        peers = [one for one in list_confirmations() if one.host != own]
        oldest_ms = timers.wall_ms() - patience * MS_PER_SECOND
        newest = find_newest(peers, oldest_ms=EpochMs(int(oldest_ms)))
        if newest is not None:
            control.progress.settle(newest)


def find_newest(
    peers: Sequence[Confirmation], *, oldest_ms: EpochMs
) -> Offset | None:
    """Give how far the peers are; None while that can't be told.

    Args:
        peers: The newest word of each other live entry host.
        oldest_ms: A peer that is silent since then is no longer waited for.
    """
    reached = [
        one.control_next for one in peers if one.unreachable_since_ms is None
    ]
    silent = [
        one.unreachable_since_ms
        for one in peers
        if one.unreachable_since_ms is not None
    ]
    if not reached or any(since > oldest_ms for since in silent):
        return None
    return max(reached)
