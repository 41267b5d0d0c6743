"""Complete HTTP/1.1 messages, and the limits on their size."""

from collections import deque

import attrs

from ebonystream._calls import Headers

MESSAGE_OBJECT_BYTES = 400
"""Memory of the objects of a message, besides its fields and its body."""


@attrs.frozen(kw_only=True)
class ReaderLimits:
    """Size limits of an accepted message.

    Attributes:
        head_bytes: Maximum size of the target and the header fields.
        body_bytes: Maximum size of the body.
    """

    head_bytes: int
    body_bytes: int


@attrs.frozen(kw_only=True)
class Message:
    """A complete request or response.

    Attributes:
        target: Target of a request; empty in a response.
        headers: Header fields in the order received, with lower-case names.
        body: The complete body.
        keep_alive: Whether the connection can carry another message.
        method: Method of a request; empty in a response.
        status: Status code of a response; 0 in a request.
        head_bytes: Memory of the target and the header fields.
    """

    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    method: bytes
    status: int
    head_bytes: int = 0

    def count_bytes(self) -> int:
        """Return the memory that the message takes."""
        return MESSAGE_OBJECT_BYTES + self.head_bytes + len(self.body)


@attrs.frozen(kw_only=True)
class MessageInfo:
    """Properties of the current message that are read from the parser.

    Attributes:
        method: Method of a request; empty in a response.
        status: Status code of a response; 0 in a request.
        keep_alive: Whether the connection can carry another message.
        version: Version of HTTP, such as `1.1`.
    """

    method: bytes
    status: int
    keep_alive: bool
    version: str


@attrs.define
class MessageQueue:
    """Complete messages that have not been taken yet.

    Attributes:
        messages: The messages, the oldest first.
        size: Memory that they take, in bytes.
    """

    messages: deque[Message] = attrs.field(factory=deque)
    size: int = 0

    def add(self, message: Message) -> None:
        """Append a message.

        Args:
            message: The message.
        """
        self.messages.append(message)
        self.size += message.count_bytes()

    def take(self) -> Message | None:
        """Remove and return the oldest message; None if there is none."""
        if not self.messages:
            return None
        message = self.messages.popleft()
        self.size -= message.count_bytes()
        return message

    def clear(self) -> None:
        """Drop all messages."""
        self.messages.clear()
        self.size = 0
