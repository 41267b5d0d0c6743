"""Reading of one whole HTTP/1.1 message, from callers and back ends alike."""

from collections.abc import Awaitable, Callable

import attrs
import h11

from ebonystream.errors import EbonystreamError, ErrorKind

RECEIVE_BYTES = 65_536
"""How much is taken from a connection at once."""

ReceiveMore = Callable[[], Awaitable[None]]
"""Waits for bytes and gives them to the parser."""


@attrs.define
class Message:
    """One message, as far as it has come.

    Attributes:
        max_body_bytes: The longest body that is taken.
        head: The request or response line with its header fields.
        body: The parts of the body, in order.
        size: The length of the body so far, in bytes.
        whole: Whether the end of the message has come.
    """

    max_body_bytes: int
    head: h11.Request | h11.Response | None = None
    body: list[bytes] = attrs.field(factory=list)
    size: int = 0
    whole: bool = False

    def add_body(self, part: bytes) -> None:
        """Take one part of the body.

        Raises:
            EbonystreamError: The body is longer than allowed.
        """
        self.body.append(part)
        self.size += len(part)
        if self.size > self.max_body_bytes:
            raise EbonystreamError(
                ErrorKind.BODY_TOO_LARGE,
                f'more than {self.max_body_bytes} bytes',
            )


async def read_message(
    parser: h11.Connection, receive_more: ReceiveMore, *, max_body_bytes: int
) -> Message:
    """Read one message; it is not whole where the other side left first.

    Args:
        parser: The parser of the connection.
        receive_more: Gives the parser more bytes.
        max_body_bytes: The longest body that is taken.

    Raises:
        EbonystreamError: The body is longer than allowed.
        h11.RemoteProtocolError: The other side broke the protocol.
    """
    message = Message(max_body_bytes)
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            await receive_more()
        elif not _take_event(message, event):
            return message


def _take_event(message: Message, event: object) -> bool:
    """Take one event into a message; False where it ends the message."""
    match event:
        case h11.Request() | h11.Response():
            message.head = event
        case h11.Data():
            message.add_body(bytes(event.data))
        case h11.InformationalResponse():
            return True
        case _:
            message.whole = isinstance(event, h11.EndOfMessage)
            return False
    return True
