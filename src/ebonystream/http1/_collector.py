"""Assemble the callbacks of the httptools parser into complete messages."""

from collections.abc import Callable

import attrs

from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.http1._body import BodyBuffer
from ebonystream.http1._message import (
    Message,
    MessageInfo,
    MessageQueue,
    ReaderLimits,
)
from ebonystream.http1._statusline import is_informational

FIELD_OVERHEAD_BYTES = 4
"""Bytes of a header field besides name and value: colon, space, line break."""

FIELD_OBJECT_BYTES = 160
"""Memory of the objects that hold a header field, besides its characters."""

CONTENT_LENGTH = b'content-length'
MAX_LENGTH_DIGITS = 18
"""A longer number is far above each limit."""

FindHeadError = Callable[[MessageInfo], EbonystreamError | None]
"""Returns the error in a head that the parser accepts; None if it is valid."""


@attrs.define
class MessageCollector:
    """Receives the parser's callbacks and assembles messages from them.

    httptools prescribes the names of the `on_…` methods.

    Attributes:
        limits: Size limits of a message.
        read_info: Reads the properties of the current message from the
            parser.
        completed: Complete messages that have not been taken yet.
        in_message: Whether an incomplete message has started.
        in_body: Whether the head of that message is complete.
        error: The first error found, if any.
        headers: Header fields of the current message.
        body: Its body so far.
        announced_bytes: Size of its body according to its head; 0 if the head
            does not say it, or is not complete.
        checks_announced: Whether a body that is announced above the limit is an
            error, before any of it is received.
        find_head_error: Checks each complete head; None if the parser's checks
            suffice.
        head_bytes: Size of its head so far.
    """

    limits: ReaderLimits
    read_info: Callable[[], MessageInfo]
    completed: MessageQueue = attrs.field(factory=MessageQueue)
    in_message: bool = False
    in_body: bool = False
    error: EbonystreamError | None = None
    headers: list[tuple[bytes, bytes]] = attrs.field(factory=list)
    body: BodyBuffer = attrs.field(factory=BodyBuffer)
    announced_bytes: int = 0
    checks_announced: bool = False
    find_head_error: FindHeadError | None = None
    head_bytes: int = 0
    _target: bytes = b''

    def on_message_begin(self) -> None:
        """Reset the state for a new message."""
        self.in_message = True
        self.in_body = False
        self.headers = []
        self._target = b''
        self.head_bytes = 0
        self.announced_bytes = 0
        self.body.clear()

    def on_url(self, data: bytes) -> None:
        """Append a part of the request target."""
        self._target += data
        self._add_head_bytes(len(data))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field; trailer fields are counted and ignored."""
        self._add_head_bytes(len(name) + len(value) + FIELD_OVERHEAD_BYTES)
        if self.in_body:
            return
        lower_name = name.lower()
        self.headers.append((lower_name, value))
        if lower_name == CONTENT_LENGTH and value.isdigit():
            self.announced_bytes = int(value[:MAX_LENGTH_DIGITS])

    def on_headers_complete(self) -> None:
        """Mark the head as complete; check it and the size it announces."""
        self.in_body = True
        if self.find_head_error is not None and self.error is None:
            self.error = self.find_head_error(self.read_info())
        if self.checks_announced:
            self._check_body_size(self.announced_bytes)

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self.body.add(data)
        self._check_body_size(self.body.size)

    def on_message_complete(self) -> None:
        """Queue the message; nothing is queued after an error.

        An informational (1xx) response is dropped, and the head of its final
        response is awaited as a part of the same message.
        """
        info = self.read_info()
        if self.error is not None:
            return
        if is_informational(info.status):
            self.on_message_begin()
            return
        self.in_message = False
        self.completed.add(self.build_message(info))
        self.body.clear()

    def discard(self) -> None:
        """Drop what has been received of messages that were not taken."""
        self.completed.clear()
        self.headers = []
        self._target = b''
        self.head_bytes = 0
        self.announced_bytes = 0
        self.body.clear()

    def build_message(self, info: MessageInfo) -> Message:
        """Build a message from the parts received so far.

        Args:
            info: Properties of the message, read from the parser.
        """
        return Message(
            target=self._target,
            headers=tuple(self.headers),
            body=self.body.get_content(),
            keep_alive=info.keep_alive,
            method=info.method,
            status=info.status,
            head_bytes=count_head_bytes(self),
        )

    def _add_head_bytes(self, size: int) -> None:
        self.head_bytes += size
        limit = self.limits.head_bytes
        if self.head_bytes > limit and self.error is None:
            self.error = _make_oversize(ErrorKind.HEAD_TOO_LARGE, limit)

    def _check_body_size(self, size: int) -> None:
        limit = self.limits.body_bytes
        if size > limit and self.error is None:
            self.error = _make_oversize(ErrorKind.BODY_TOO_LARGE, limit)


def count_head_bytes(collector: MessageCollector) -> int:
    """Return the memory of the head of the current message.

    Args:
        collector: The collector that receives it.
    """
    fields = FIELD_OBJECT_BYTES * len(collector.headers)
    return collector.head_bytes + fields


def _make_oversize(kind: ErrorKind, limit: int) -> EbonystreamError:
    return EbonystreamError(kind, f'more than {limit} bytes')
