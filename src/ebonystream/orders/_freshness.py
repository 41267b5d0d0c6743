"""How fresh the orders of a host are known to be."""

import attrs

from ebonystream._ids import BootTime, Seconds
from ebonystream.orders._position import OrdersPosition

WAITED_SHARE = 0.95
"""Share of a wait at the store that counts as waited; the rest covers clocks of
different rates."""


def compute_proof_time(
    asked_at: BootTime, responded_at: BootTime, wait: Seconds
) -> BootTime:
    """Return the latest time at which the store surely had no newer orders.

    An order may have been appended while the response was on its way. A store
    that was to wait for new orders responds without any at the end of the wait,
    not earlier.

    Args:
        asked_at: When the store was asked.
        responded_at: When its response without new orders arrived.
        wait: How long it was to wait for new orders, in seconds.
    """
    if responded_at - asked_at < wait:
        return asked_at
    return BootTime(asked_at + wait * WAITED_SHARE)


@attrs.define
class Freshness:
    """Proof that the orders of this host were the newest at some time.

    Attributes:
        asked_at: When the store last had no newer orders, as told to this host
            or to the one that passed it on; None if never.
    """

    asked_at: BootTime | None = None

    def confirm(
        self,
        asked_at: BootTime,
        *,
        newest: OrdersPosition,
        held: OrdersPosition,
    ) -> None:
        """Record a response of the store.

        Other orders than those in force prove nothing about these.

        Args:
            asked_at: When the store had no newer orders.
            newest: Position of the store.
            held: Position of this host.
        """
        if newest != held:
            return
        if self.asked_at is None or asked_at > self.asked_at:
            self.asked_at = asked_at

    def get_age(self, now: BootTime) -> Seconds | None:
        """Return for how long newer orders may have existed; None if unknown.

        Args:
            now: The current time.
        """
        if self.asked_at is None:
            return None
        return Seconds(max(0, now - self.asked_at))

    def is_within(self, limit: Seconds, now: BootTime) -> bool:
        """Return whether the orders are known to be no older than a limit.

        Args:
            limit: The limit, in seconds.
            now: The current time.
        """
        age = self.get_age(now)
        return age is not None and age <= limit
