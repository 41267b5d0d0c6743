"""The bytes that a process holds for its clients, over all connections.

The load that this addresses: many clients that each send a large request, stop
just short of its end and keep the connection open, and clients that take their
responses slowly. Each stays within the limits of one request; only the bytes
of all of them together exceed the memory of the machine.
"""

import enum
from collections.abc import Callable

import attrs

from ebonystream._ids import Monotonic
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.ingress._account import Account, CloseConnection
from ebonystream.ingress._shedding import (
    choose_largest_receiver,
    choose_shed_accounts,
    choose_slowest,
    count_movable_bytes,
)

DEFAULT_BUDGET_BYTES = 268_435_456
"""Budget of a listener that is given none."""

MIN_LARGE_BYTES = 65_536
"""Size from which a request may not use the part kept for small ones."""

SMALL_REQUEST_SHARE = 1 / 8
"""Share of the budget that is kept for small requests, so that they are served
while large ones are refused."""


class CloseReason(enum.Enum):
    """Why a connection was closed to make room."""

    SLOW_RECEIVER = 'slow_receiver'
    """Its client took a response too slowly while the budget was short."""

    LARGE_RESPONSE = 'large_response'
    """Its response was the largest while the budget was exceeded."""

    TOO_MANY = 'too_many_connections'
    """It was the slowest, or a new one, while the maximum were open."""


ObserveClose = Callable[[CloseReason, int], None]
"""Called with each connection that is closed to make room, and its bytes."""


def ignore_close(reason: CloseReason, freed_bytes: int) -> None:
    """Take no note of a closed connection.

    Args:
        reason: Why it was closed.
        freed_bytes: Bytes that it held.
    """


@attrs.define
class MemoryBudget:
    """The bytes that one process holds for clients.

    Attributes:
        max_bytes: The bound.
        observe_close: Called with each connection that is closed to make room.
        used_bytes: Bytes that are held now, or reserved for announced bodies.
        peak_bytes: The largest number of bytes so far.
        refusals: Number of requests refused as they did not fit.
        shed_requests: Number of requests that were too slow while others did
            not fit.
        closed_connections: Number of connections closed to make room.
        accounts: The accounts of the open connections.
    """

    max_bytes: int = DEFAULT_BUDGET_BYTES
    observe_close: ObserveClose = ignore_close
    used_bytes: int = 0
    peak_bytes: int = 0
    refusals: int = 0
    shed_requests: int = 0
    closed_connections: int = 0
    accounts: set[Account] = attrs.field(factory=set)

    @property
    def max_large_bytes(self) -> int:
        """The part of the budget that large requests may use."""
        return int(self.max_bytes * (1 - SMALL_REQUEST_SHARE))

    def open_account(self, close: CloseConnection) -> Account:
        """Open the account of a connection.

        Args:
            close: Closes the connection.
        """
        account = Account(close=close)
        self.accounts.add(account)
        self._add(account.count_bytes())
        return account

    def close_account(self, account: Account) -> None:
        """Close an account and release its bytes.

        Args:
            account: The account.
        """
        self.accounts.discard(account)
        self.used_bytes -= account.count_bytes()

    def set_reading(self, account: Account, size: int, now: Monotonic) -> None:
        """Set the bytes of the requests that are being received.

        Args:
            account: Account of the connection.
            size: Bytes held, and those that are announced.
            now: Current time on the monotonic clock, in seconds.

        Raises:
            EbonystreamError: They do not fit; the request is to be refused.
        """
        added = size - account.reading_bytes
        if added > 0:
            self._check_fit(account, size, added, now)
        account.reading_bytes = size
        self._add(added)

    def add_serving(self, account: Account, size: int) -> None:
        """Add bytes of a request that is handled; negative when it ends.

        They were counted while they were received, so that they are not
        refused.

        Args:
            account: Account of the connection.
            size: Bytes of the request.
        """
        account.serving_bytes += size
        self._add(size)

    def add_sending(self, account: Account, size: int, now: Monotonic) -> None:
        """Add bytes of a response, which its client has yet to take.

        A request that has run is not refused. If its response does not fit,
        slow clients give way, then those with the largest responses.

        Args:
            account: Account of the connection.
            size: Bytes of the response.
            now: Current time on the monotonic clock, in seconds.
        """
        if account.sending_bytes == 0:
            account.sending.start(now)
        account.sending_bytes += size
        self._add(size)
        if self.used_bytes > self.max_bytes:
            self._shed(self.used_bytes - self.max_bytes, now)
        while self.used_bytes > self.max_bytes:
            largest = choose_largest_receiver(self.accounts)
            if largest is None:
                return
            self._close(largest, CloseReason.LARGE_RESPONSE)

    def record_sent(self, account: Account, size: int, now: Monotonic) -> None:
        """Record that a client took bytes of its responses.

        Args:
            account: Account of the connection.
            size: Bytes that were sent.
            now: Current time on the monotonic clock, in seconds.
        """
        counted = min(size, account.sending_bytes)
        account.sending_bytes -= counted
        account.sending.moved_bytes += counted
        account.sending.moved_at = now
        self.used_bytes -= counted

    def set_socket_bytes(self, account: Account, size: int) -> None:
        """Set the bytes that the kernel may hold unread beyond the usual.

        Args:
            account: Account of the connection.
            size: The bytes.
        """
        self._add(size - account.socket_bytes)
        account.socket_bytes = size

    def close_slowest(self, now: Monotonic) -> bool:
        """Close the slowest connection; return whether one was slow.

        Args:
            now: Current time on the monotonic clock, in seconds.
        """
        slowest = choose_slowest(self.accounts, now)
        if slowest is None:
            return False
        self._close(slowest, CloseReason.TOO_MANY)
        return True

    def record_closed(self, reason: CloseReason, freed_bytes: int) -> None:
        """Record that a connection was closed to make room.

        Args:
            reason: Why it was closed.
            freed_bytes: Bytes that it held.
        """
        self.closed_connections += 1
        self.observe_close(reason, freed_bytes)

    def _check_fit(
        self, account: Account, size: int, added: int, now: Monotonic
    ) -> None:
        """Check that added bytes fit; slow requests give way to them."""
        is_large = size > MIN_LARGE_BYTES
        limit = self.max_large_bytes if is_large else self.max_bytes
        excess = self.used_bytes + added - limit
        if excess <= 0:
            return
        if size > limit:
            raise EbonystreamError(
                ErrorKind.BODY_TOO_LARGE, f'more than {limit} bytes'
            )
        if not self._shed(excess, now, but=account):
            self.refusals += 1
            raise EbonystreamError(
                ErrorKind.MEMORY_SHORT,
                f'{size} bytes, {self.used_bytes} of {limit} in use',
            )

    def _shed(
        self, needed: int, now: Monotonic, but: Account | None = None
    ) -> bool:
        """Free bytes of slow clients; return whether they were enough."""
        others = self.accounts - {but} if but else self.accounts
        chosen = choose_shed_accounts(others, needed_bytes=needed, now=now)
        for account in chosen:
            if account.stop_receiving is None:
                self._close(account, CloseReason.SLOW_RECEIVER)
            else:
                self._stop_receiving(account, account.stop_receiving)
        return bool(chosen)

    def _stop_receiving(
        self, account: Account, stop: Callable[[], None]
    ) -> None:
        account.is_shed = True
        self.shed_requests += 1
        self.used_bytes -= account.reading_bytes
        account.reading_bytes = 0
        account.stop_receiving = None
        stop()

    def _close(self, account: Account, reason: CloseReason) -> None:
        self.record_closed(reason, account.count_bytes())
        # Its bytes are freed as soon as its task runs.
        self.used_bytes -= count_movable_bytes(account)
        account.reading_bytes = 0
        account.sending_bytes = 0
        account.socket_bytes = 0
        account.stop_receiving = None
        account.close()

    def _add(self, size: int) -> None:
        self.used_bytes += size
        if self.used_bytes > self.peak_bytes:
            self.peak_bytes = self.used_bytes
