"""The interface between a connection and what handles its requests."""

from collections.abc import Awaitable, Callable

import attrs

from ebonystream._ids import Monotonic
from ebonystream.errors import EbonystreamError
from ebonystream.http1 import Message
from ebonystream.ingress._presence import CallerPresence


@attrs.frozen
class EncodedResponse:
    """A response ready to be sent.

    Attributes:
        content: The encoded response.
        close: Whether the connection is closed after the response.
    """

    content: bytes
    close: bool


Respond = Callable[
    [Message, Monotonic, CallerPresence], Awaitable[EncodedResponse]
]
"""Respond to a request, given the arrival time of its first byte."""

EncodeError = Callable[[EbonystreamError], bytes]
"""Encode the response to invalid input; the connection is then closed."""
