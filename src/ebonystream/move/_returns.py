"""Notification of zones that return to use, as their servers are cold."""

from collections.abc import Callable

from ebonystream._ids import Offset, ZoneName
from ebonystream._timers import Timers
from ebonystream.move._moves import Moves

MAX_RETURN_AGE_MS = 600_000
"""Upper bound on the age of a return that a starting host is notified of."""

OnZoneReturn = Callable[[ZoneName], None]
"""Called with a zone that has returned and whose servers are cold."""


def make_return_notifier(
    *,
    get_moves: Callable[[], Moves],
    on_zone_return: OnZoneReturn,
    timers: Timers,
) -> Callable[[], None]:
    """Make the function that notifies of zones that have returned.

    The caller runs it right after each change of the moves, before any call
    can be placed. It also finds a return whose record this host did not read
    because of a snapshot or a checkpoint: it compares the latest return of
    each zone, not the records.

    Args:
        get_moves: Returns the current state of the moves.
        on_zone_return: Called once for each return.
        timers: Source of the current time, for the age of a return.
    """
    notified: dict[ZoneName, Offset] = {}

    def notify_returns() -> None:
        oldest_ms = timers.wall_ms() - MAX_RETURN_AGE_MS
        returns = get_moves().zones.returns
        new_returns = [
            zone_return
            for zone, zone_return in returns.items()
            if notified.get(zone) != zone_return.offset
        ]
        for zone_return in new_returns:
            notified[zone_return.zone] = zone_return.offset
            if zone_return.at_ms >= oldest_ms:
                on_zone_return(zone_return.zone)

    return notify_returns
