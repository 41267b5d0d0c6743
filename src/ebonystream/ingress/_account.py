"""The bytes that one connection holds, and how fast they move."""

from collections.abc import Callable

import attrs

from ebonystream._ids import Monotonic, Seconds

CONNECTION_BYTES = 24_576
"""Memory of a connection: its task and parser, and small messages."""

SMALL_MESSAGE_BYTES = 4096
"""Messages up to this size are covered by the memory of their connection."""

MIN_RATE = 65_536
"""Rate below which a message is slow, in bytes per second."""

RATE_GRACE = Seconds(1)
"""How long a message may take before its rate is judged, in seconds."""

STALL_TIME = Seconds(0.5)
"""Time without any progress after which a message is slow, in seconds."""


@attrs.define
class Progress:
    """How fast a message moves.

    Attributes:
        started_at: When it started, on the monotonic clock.
        moved_at: When its last bytes moved.
        moved_bytes: Bytes that have moved since it started.
    """

    started_at: Monotonic = Monotonic(0)
    moved_at: Monotonic = Monotonic(0)
    moved_bytes: int = 0

    def start(self, now: Monotonic) -> None:
        """Start a message.

        Args:
            now: Current time on the monotonic clock, in seconds.
        """
        self.started_at = now
        self.moved_at = now
        self.moved_bytes = 0

    def compute_rate(self, now: Monotonic) -> float:
        """Return the mean rate since the start, in bytes per second.

        Args:
            now: Current time on the monotonic clock, in seconds.
        """
        return self.moved_bytes / max(now - self.started_at, STALL_TIME)

    def is_slow(self, now: Monotonic) -> bool:
        """Return whether the message makes no progress, or too little.

        Args:
            now: Current time on the monotonic clock, in seconds.
        """
        if now - self.moved_at >= STALL_TIME:
            return True
        has_rate = now - self.started_at >= RATE_GRACE
        return has_rate and self.compute_rate(now) < MIN_RATE


CloseConnection = Callable[[], None]
"""Close the connection of an account at once."""

StopReceiving = Callable[[], None]
"""Stop to receive a request, which is then refused as too slow."""


CountUnread = Callable[[], int]
"""Return the bytes of a connection that the kernel holds unread."""


def count_nothing_unread() -> int:
    """Return 0, for a connection that the kernel holds nothing of."""
    return 0


@attrs.define(eq=False, kw_only=True)
class Account:
    """The bytes that one connection holds.

    Attributes:
        close: Closes the connection.
        count_unread: Returns the bytes that the kernel holds unread.
        stop_receiving: Refuses the request that is being received; None while
            none is.
        reading_bytes: Bytes of requests that were received and not yet
            handled, and those reserved for an announced body.
        serving_bytes: Bytes of requests that are being handled.
        sending_bytes: Bytes of responses that the client has not taken.
        unread_bytes: Bytes that the kernel held unread when it was asked last.
        reading: Progress of the request that is being received.
        sending: Progress of the responses.
        is_sending: Whether bytes are being sent, of whatever size.
        is_shed: Whether the request that is being received gave way.
        counted_bytes: Bytes that the book of accounts has counted.
    """

    close: CloseConnection
    count_unread: CountUnread = count_nothing_unread
    stop_receiving: StopReceiving | None = None
    reading_bytes: int = 0
    serving_bytes: int = 0
    sending_bytes: int = 0
    unread_bytes: int = 0
    reading: Progress = attrs.field(factory=Progress)
    sending: Progress = attrs.field(factory=Progress)
    is_sending: bool = False
    is_shed: bool = False
    counted_bytes: int = 0

    def count_bytes(self) -> int:
        """Return all bytes that the connection holds."""
        messages = self.reading_bytes + self.serving_bytes + self.sending_bytes
        return CONNECTION_BYTES + messages + self.unread_bytes

    def is_slow_sender(self, now: Monotonic) -> bool:
        """Return whether its client sends a request too slowly.

        Args:
            now: Current time on the monotonic clock, in seconds.
        """
        return self.stop_receiving is not None and self.reading.is_slow(now)

    def is_slow_receiver(self, now: Monotonic) -> bool:
        """Return whether its client takes responses too slowly.

        Args:
            now: Current time on the monotonic clock, in seconds.
        """
        has_response = self.is_sending or self.sending_bytes > 0
        return has_response and self.sending.is_slow(now)


@attrs.define
class AccountBook:
    """The accounts of the open connections, and the sum of their bytes.

    Attributes:
        accounts: The accounts.
        used_bytes: Bytes of all accounts.
        peak_bytes: The largest number of bytes so far.
    """

    accounts: set[Account] = attrs.field(factory=set)
    used_bytes: int = 0
    peak_bytes: int = 0

    def open(
        self,
        close: CloseConnection,
        count_unread: CountUnread = count_nothing_unread,
    ) -> Account:
        """Open the account of a connection.

        Args:
            close: Closes the connection.
            count_unread: Returns the bytes that the kernel holds unread.
        """
        account = Account(close=close, count_unread=count_unread)
        self.accounts.add(account)
        self.update(account)
        return account

    def update(self, account: Account) -> None:
        """Count an account again after a change of its bytes.

        Args:
            account: The account.
        """
        counted = account.count_bytes()
        self.used_bytes += counted - account.counted_bytes
        account.counted_bytes = counted
        if self.used_bytes > self.peak_bytes:
            self.peak_bytes = self.used_bytes

    def close(self, account: Account) -> None:
        """Close an account and release its bytes.

        Args:
            account: The account.
        """
        self.accounts.discard(account)
        self.used_bytes -= account.counted_bytes
