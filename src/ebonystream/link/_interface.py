"""What an exchange with another process is given, and how it ends."""

import enum
from collections.abc import Awaitable, Callable
from typing import Protocol

from ebonystream._address import ServerAddress
from ebonystream._calls import Headers
from ebonystream.http1 import EncodedMessage, Message


class ExchangeFailure(enum.Enum):
    """Why an exchange yielded no response."""

    UNREACHABLE = 'unreachable'
    """No connection could be opened; nothing was sent."""

    INTERRUPTED = 'cut'
    """The connection failed or delivered no valid response after the request
    may have been sent."""

    WITHHELD = 'withheld'
    """The request was no longer permitted once there was a connection; nothing
    was sent."""

    OVERSIZE = 'oversize'
    """The server sent more bytes than a response may have, after the request
    may have been sent."""


ExchangeResult = Message | ExchangeFailure
"""A complete response, or the reason why there is none."""

ResponseMatcher = Callable[[Headers], bool]
"""Return whether a response with these header fields answers the request."""


def match_any(headers: Headers) -> bool:
    """Match each response, where the protocol names no request in them.

    An exchange that is cancelled closes its connection, so that no late
    response to an earlier request can arrive on it.
    """
    return True


MaySend = Callable[[], bool]
"""Return whether a request may be sent now."""


def permit_always() -> bool:
    """Permit each send."""
    return True


class Exchange(Protocol):
    """Send an encoded request to an address and return the result.

    Cancellation closes the connection, so that a late response cannot be taken
    for the response to a later request.
    """

    def __call__(
        self,
        at: ServerAddress,
        request: EncodedMessage,
        matches: ResponseMatcher,
        may_send: MaySend = permit_always,
    ) -> Awaitable[ExchangeResult]:
        """Send a request.

        Args:
            at: Address of the server.
            request: The encoded request.
            matches: Returns whether a response answers the request.
            may_send: Called with a connection at hand, directly before the
                request is sent.
        """
