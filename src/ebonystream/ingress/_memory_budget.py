"""The bytes that a process holds for its clients, over all connections.

The load that this addresses: many clients that each send a large request, stop
just short of its end and keep the connection open, and clients that take their
responses slowly. Each stays within the limits of one request; only the bytes
of all of them together exceed the memory of the machine.
"""

import attrs

from ebonystream._ids import Monotonic
from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.ingress._account import Account, AccountBook
from ebonystream.ingress._closings import CloseReason, Closings
from ebonystream.ingress._shedding import (
    choose_largest_receiver,
    choose_most_unread,
    choose_shed_accounts,
    choose_slowest,
)

DEFAULT_BUDGET_BYTES = 268_435_456
"""Budget of a listener that is given none."""

MIN_LARGE_BYTES = 65_536
"""Size above which a request may not use the part kept for small ones."""

SMALL_REQUEST_SHARE = 1 / 8
"""Share of the budget that is kept for small requests, so that they are served
while large ones are refused."""


@attrs.define
class MemoryBudget:
    """The bound on the bytes that one process holds for clients.

    Attributes:
        max_bytes: The bound.
        closings: Ends what gives way.
        book: The accounts of the connections.
    """

    max_bytes: int = DEFAULT_BUDGET_BYTES
    closings: Closings = attrs.field(factory=Closings)
    book: AccountBook = attrs.field(factory=AccountBook)

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
        self.book.update(account)

    def add_serving(self, account: Account, size: int) -> None:
        """Add bytes of a request that is handled; negative when it ends.

        They were counted while they were received, so that they are not
        refused.

        Args:
            account: Account of the connection.
            size: Bytes of the request.
        """
        account.serving_bytes += size
        self.book.update(account)

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
        self.book.update(account)
        excess = self.book.used_bytes - self.max_bytes
        if excess > 0 and not self._shed(excess, now):
            self._close_largest_receivers()

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
        self.book.update(account)

    def count_unread(self) -> None:
        """Count what the kernel holds unread; close those with most of it.

        A client may send further requests while one of its requests is handled.
        They are not read before its response, but are held by the kernel, which
        counts towards the memory of the machine.
        """
        for account in self.book.accounts:
            account.unread_bytes = account.count_unread()
            self.book.update(account)
        while self.book.used_bytes > self.max_bytes:
            most = choose_most_unread(self.book.accounts)
            if most is None:
                return
            self.closings.close(most, CloseReason.UNREAD_INPUT)
            self.book.update(most)

    def forget_unread(self) -> None:
        """Count nothing as unread, as it is read without being counted."""
        for account in self.book.accounts:
            account.unread_bytes = 0
            self.book.update(account)

    def close_slowest(self, now: Monotonic) -> bool:
        """Close the slowest connection; return whether one was slow.

        Args:
            now: Current time on the monotonic clock, in seconds.
        """
        slowest = choose_slowest(self.book.accounts, now)
        if slowest is None:
            return False
        self.closings.close(slowest, CloseReason.TOO_MANY)
        self.book.update(slowest)
        return True

    def _check_fit(
        self, account: Account, size: int, added: int, now: Monotonic
    ) -> None:
        """Check that added bytes fit; slow requests give way to them."""
        limit = self.max_bytes
        if size > MIN_LARGE_BYTES:
            limit = int(limit * (1 - SMALL_REQUEST_SHARE))
        used = self.book.used_bytes
        if used + added <= limit:
            return
        if size > limit:
            raise EbonystreamError(
                ErrorKind.BODY_TOO_LARGE, f'more than {limit} bytes'
            )
        if not self._shed(used + added - limit, now, but=account):
            self.closings.refuse(size)
            raise EbonystreamError(
                ErrorKind.MEMORY_SHORT, f'{size} bytes; {used} of {limit} used'
            )

    def _shed(
        self, needed: int, now: Monotonic, but: Account | None = None
    ) -> bool:
        """Free bytes of slow clients; return whether they were enough."""
        accounts = self.book.accounts
        others = accounts if but is None else accounts - {but}
        chosen = choose_shed_accounts(others, needed_bytes=needed, now=now)
        for account in chosen:
            self.closings.end(account)
            self.book.update(account)
        return bool(chosen)

    def _close_largest_receivers(self) -> None:
        while self.book.used_bytes > self.max_bytes:
            largest = choose_largest_receiver(self.book.accounts)
            if largest is None:
                return
            self.closings.close(largest, CloseReason.LARGE_RESPONSE)
            self.book.update(largest)
