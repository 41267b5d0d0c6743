"""Requests and connections that are ended to make room for others."""

import enum
from collections.abc import Callable

import attrs

from ebonystream.ingress._account import Account


class CloseReason(enum.Enum):
    """Why a connection was closed to make room."""

    SLOW_RECEIVER = 'slow_receiver'
    """Its client took a response too slowly while the budget was short."""

    LARGE_RESPONSE = 'large_response'
    """Its response was the largest while the budget was exceeded."""

    UNREAD_INPUT = 'unread_input'
    """It sent most while a request of it was handled and the budget short."""

    TOO_MANY = 'too_many_connections'
    """It was the slowest, or a new one, while the maximum were open."""

    REFUSED = 'request_refused'
    """Its request did not fit."""

    SLOW_SENDER = 'slow_sender'
    """Its request was too slow while others did not fit."""


ObserveClose = Callable[[CloseReason, int], None]
"""Called with each request or connection that ends, and its bytes."""


def ignore_close(reason: CloseReason, freed_bytes: int) -> None:
    """Take no note of a closed connection.

    Args:
        reason: Why it was closed.
        freed_bytes: Bytes that it held.
    """


@attrs.define
class Closings:
    """Ends requests and connections, and counts them.

    Attributes:
        observe: Called with each request or connection that ends.
        refused_requests: Number of requests refused as they did not fit.
        shed_requests: Number of requests ended before they were complete.
        closed_connections: Number of connections closed.
    """

    observe: ObserveClose = ignore_close
    refused_requests: int = 0
    shed_requests: int = 0
    closed_connections: int = 0

    def record(self, reason: CloseReason, freed_bytes: int) -> None:
        """Record that a connection was closed to make room.

        Args:
            reason: Why it was closed.
            freed_bytes: Bytes that it held.
        """
        self.closed_connections += 1
        self.observe(reason, freed_bytes)

    def refuse(self, size: int) -> None:
        """Count a request that is refused as it does not fit.

        Args:
            size: Bytes of the request.
        """
        self.refused_requests += 1
        self.observe(CloseReason.REFUSED, size)

    def end(self, account: Account) -> None:
        """End a slow request, or close the connection of a slow receiver.

        Its bytes are freed as soon as its task runs.

        Args:
            account: Account of the connection.
        """
        stop = account.stop_receiving
        if stop is None:
            self.close(account, CloseReason.SLOW_RECEIVER)
            return
        self.shed_requests += 1
        self.observe(CloseReason.SLOW_SENDER, account.reading_bytes)
        account.is_shed = True
        account.reading_bytes = 0
        account.stop_receiving = None
        stop()

    def close(self, account: Account, reason: CloseReason) -> None:
        """Close a connection. Requests that are handled keep their bytes.

        Args:
            account: Account of the connection.
            reason: Why it is closed.
        """
        self.record(reason, account.count_bytes())
        account.is_shed = True
        account.reading_bytes = 0
        account.sending_bytes = 0
        account.unread_bytes = 0
        account.stop_receiving = None
        account.close()
