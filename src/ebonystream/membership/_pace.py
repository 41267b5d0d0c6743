"""Period of heartbeats, and silence after which a peer is unreachable."""

import attrs

from ebonystream._ids import Seconds

SILENT_PERIODS = 3
"""Heartbeat periods in a row in which a peer may be silent."""


@attrs.frozen(kw_only=True)
class Pace:
    """Timing of heartbeats.

    Attributes:
        period: Interval between two heartbeats to one peer, in seconds.
        silence: Silence after which a peer counts as unreachable, in seconds.
    """

    period: Seconds
    silence: Seconds


def choose_pace(pace: Pace, *, peers: int, heartbeats_per_second: int) -> Pace:
    """Return the timing for a number of peers: slower if there are many.

    Args:
        pace: Timing with few peers.
        peers: Number of peers that receive heartbeats.
        heartbeats_per_second: Maximum rate of heartbeats to all of them.
    """
    period = max(pace.period, peers / heartbeats_per_second)
    silence = max(pace.silence, SILENT_PERIODS * period)
    return Pace(period=Seconds(period), silence=Seconds(silence))
