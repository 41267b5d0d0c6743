"""Zones that come back are cold; whoever warms them up is told at once."""

from collections.abc import Callable

from ebonystream._ids import Offset, ZoneName
from ebonystream._timers import Timers
from ebonystream.move._moves import Moves

COLD_MEMORY_MS = 600_000
"""How long after its return a zone is told to a host that starts."""

OnZoneBack = Callable[[ZoneName], None]
"""Is called with a zone that came back and is cold."""


def make_return_watch(
    *, get_moves: Callable[[], Moves], on_zone_back: OnZoneBack, timers: Timers
) -> Callable[[], None]:
    """Make the function that tells of zones that came back.

    It is called right after each change of the moves, before any call can be
    placed. A return that was skipped, by a snapshot or a checkpoint, is told
    too: the last return of each zone is compared, not the records.

    Args:
        get_moves: Gives the moves in force.
        on_zone_back: Is called once for each return.
        timers: Tells whether a return is recent.
    """
    told: dict[ZoneName, Offset] = {}

    def tell_returns() -> None:
        oldest = timers.wall_ms() - COLD_MEMORY_MS
        returns = get_moves().zones.returns
        news = [
            back
            for zone, back in returns.items()
            if told.get(zone) != back.offset
        ]
        for back in news:
            told[back.zone] = back.offset
            if back.at_ms >= oldest:
                on_zone_back(back.zone)

    return tell_returns
