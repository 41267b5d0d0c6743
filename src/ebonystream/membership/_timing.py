"""Period of heartbeats, and silence after which a peer is unreachable."""

import attrs

from ebonystream._ids import Seconds

TOLERATED_PERIODS = 3
"""Heartbeat periods in a row in which a peer may be silent."""


@attrs.frozen(kw_only=True)
class HeartbeatTiming:
    """Timing of heartbeats.

    Attributes:
        period: Interval between two heartbeats to one peer, in seconds.
        timeout: Silence after which a peer counts as unreachable, in seconds.
    """

    period: Seconds
    timeout: Seconds


def scale_timing(
    timing: HeartbeatTiming, *, peers: int, heartbeats_per_second: int
) -> HeartbeatTiming:
    """Return the timing for a number of peers: slower if there are many.

    Args:
        timing: Timing with few peers.
        peers: Number of peers that receive heartbeats.
        heartbeats_per_second: Maximum rate of heartbeats to all of them.
    """
    period = max(timing.period, peers / heartbeats_per_second)
    timeout = max(timing.timeout, TOLERATED_PERIODS * period)
    return HeartbeatTiming(period=Seconds(period), timeout=Seconds(timeout))
