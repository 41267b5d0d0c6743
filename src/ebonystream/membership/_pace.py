"""How often heartbeats are sent, and how much silence is borne."""

import attrs

from ebonystream._ids import Seconds

SILENT_PERIODS = 3
"""Heartbeats in a row whose loss does not count as silence."""


@attrs.frozen(kw_only=True)
class Pace:
    """The rhythm of heartbeats.

    Attributes:
        period: The time between two heartbeats to one peer, in seconds.
        silence: How long a peer may be silent and count as reachable, in
            seconds.
    """

    period: Seconds
    silence: Seconds


def choose_pace(pace: Pace, *, peers: int, heartbeats_per_second: int) -> Pace:
    """Slow a pace down where the number of peers makes it too dear.

    Args:
        pace: The pace for few peers.
        peers: How many peers get heartbeats.
        heartbeats_per_second: The most that are sent to all of them.
    """
    period = max(pace.period, peers / heartbeats_per_second)
    silence = max(pace.silence, SILENT_PERIODS * period)
    return Pace(period=Seconds(period), silence=Seconds(silence))
