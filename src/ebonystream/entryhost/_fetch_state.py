"""State of fetching from other hosts: failures, and orders left out."""

import attrs

from ebonystream._ids import HostId, Monotonic, Seconds
from ebonystream.gossip import SharedOrders, SharedRequest
from ebonystream.orders import OrdersPosition

FETCH_PERIOD = Seconds(0.35)
"""Period of fetching from the zone leader, in seconds."""

FIRST_FETCH_PERIOD = Seconds(0.01)
"""Delay before the first fetch. It doubles with each fetch until this host has
orders and entries, up to the usual period."""

FETCH_TIMEOUT = Seconds(0.3)
"""Timeout of a fetch, in seconds; it doubles with each one that fails."""

MAX_FETCH_TIMEOUT = Seconds(1.2)
"""Upper bound on that timeout, in seconds: a change may be large, and many
hosts may fetch it from one."""

FAILED_HOST_BACKOFF = Seconds(1)
"""How long a host that did not respond is not fetched from, in seconds."""

MAX_PACED_FETCHES = 60
"""Fetches from other hosts of the zone until the usual one is asked again."""


@attrs.define
class FetchFailures:
    """Failed fetches, and how the next one is made.

    Attributes:
        failed_at: Time of the latest failure, by host.
        timeout: Timeout of the next fetch, in seconds.
        retry_delay: Delay after the next failure, in seconds.
    """

    failed_at: dict[HostId, Monotonic] = attrs.field(factory=dict)
    timeout: Seconds = FETCH_TIMEOUT
    retry_delay: Seconds = FIRST_FETCH_PERIOD

    def record_failure(self, host: HostId, now: Monotonic) -> Seconds:
        """Record a failure and return the delay until the next fetch.

        Args:
            host: The host that did not respond.
            now: The current time.
        """
        self.failed_at[host] = now
        self.timeout = Seconds(min(2 * self.timeout, MAX_FETCH_TIMEOUT))
        delay = self.retry_delay
        self.retry_delay = Seconds(min(2 * delay, FETCH_PERIOD))
        return delay

    def record_success(self) -> None:
        """Return to the usual timeout and delay."""
        self.timeout = FETCH_TIMEOUT
        self.retry_delay = FIRST_FETCH_PERIOD

    def list_failed_hosts(self, now: Monotonic) -> set[HostId]:
        """List the hosts that are not fetched from now, and forget others.

        Args:
            now: The current time.
        """
        self.failed_at = {
            host: at
            for host, at in self.failed_at.items()
            if now - at < FAILED_HOST_BACKOFF
        }
        return set(self.failed_at)


@attrs.frozen
class Fetched:
    """What a fetch yielded.

    Attributes:
        request: The next request.
        orders: Orders in the response; None if there were none.
    """

    request: SharedRequest
    orders: SharedOrders | None


@attrs.define
class MissingOrders:
    """Newer orders that a host has, but left out of its response.

    Attributes:
        position: Position of that host; None if no orders are missing.
        fetches_left: Fetches that may still seek them.
    """

    position: OrdersPosition | None = None
    fetches_left: int = 0

    def is_sought(self) -> bool:
        """Return whether any host of the zone is asked for the orders."""
        return self.position is not None

    def lengthen_timeout(self, usual: Seconds) -> Seconds:
        """Return the timeout of the next fetch, in seconds.

        Args:
            usual: The timeout if no orders are missing, in seconds.
        """
        return MAX_FETCH_TIMEOUT if self.is_sought() else usual

    def record(self, shared: SharedOrders | None, held: OrdersPosition) -> None:
        """Record a response.

        Args:
            shared: The orders in the response.
            held: Position of this host.
        """
        self.fetches_left -= 1
        if self.position is not None:
            is_over = held >= self.position or self.fetches_left <= 0
            self.position = None if is_over else self.position
        elif shared is not None and is_left_out(shared, held):
            self.position = shared.get_position()
            self.fetches_left = MAX_PACED_FETCHES


def is_left_out(shared: SharedOrders, held: OrdersPosition) -> bool:
    """Return whether a host has newer orders, but did not send them.

    Args:
        shared: The orders in its response.
        held: Position of this host.
    """
    position = shared.get_position()
    if position is None or shared.listing is not None:
        return False
    return position > held
