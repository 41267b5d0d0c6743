"""Assemble the callbacks of the httptools parser into complete messages."""

from collections import deque
from collections.abc import Callable
from io import BytesIO

import attrs

from ebonystream.errors import EbonystreamError, ErrorKind
from ebonystream.http1._message import Message, MessageInfo, ReaderLimits

FIELD_OVERHEAD_BYTES = 4
"""Bytes of a header field besides name and value: colon, space, line break."""

FIELD_OBJECT_BYTES = 160
"""Memory of the objects that hold a header field, besides its characters."""

CONTENT_LENGTH = b'content-length'
MAX_LENGTH_DIGITS = 18
"""A longer number is far above each limit."""


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
        body_bytes: Size of its body so far.
        announced_bytes: Size of its body according to its head; 0 if the head
            does not say it, or is not complete.
        checks_announced: Whether a body that is announced above the limit is an
            error, before any of it is received.
        completed_bytes: Memory of the messages that have not been taken yet.
    """

    limits: ReaderLimits
    read_info: Callable[[], MessageInfo]
    completed: deque[Message] = attrs.field(factory=deque)
    in_message: bool = False
    in_body: bool = False
    error: EbonystreamError | None = None
    headers: list[tuple[bytes, bytes]] = attrs.field(factory=list)
    body_bytes: int = 0
    announced_bytes: int = 0
    checks_announced: bool = False
    completed_bytes: int = 0
    _target: bytes = b''
    _first_part: bytes = b''
    _parts: BytesIO | None = None
    _head_bytes: int = 0

    def on_message_begin(self) -> None:
        """Reset the state for a new message."""
        self.in_message = True
        self.in_body = False
        self.headers = []
        self._target = b''
        self._first_part = b''
        self._parts = None
        self._head_bytes = 0
        self.body_bytes = 0
        self.announced_bytes = 0

    def on_url(self, data: bytes) -> None:
        """Append a part of the request target."""
        self._target += data
        self._add_head_bytes(len(data))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field; trailer fields are counted and ignored."""
        self._add_head_bytes(len(name) + len(value) + FIELD_OVERHEAD_BYTES)
        if not self.in_body:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Mark the head as complete."""
        self.in_body = True
        for name, value in self.headers:
            if name == CONTENT_LENGTH and value.isdigit():
                self.announced_bytes = int(value[:MAX_LENGTH_DIGITS])
        if self.checks_announced:
            self._check_body_size(self.announced_bytes)

    def on_body(self, data: bytes) -> None:
        """Append a part of the body.

        Most bodies have one part, which is kept as it is. The parts of others
        are appended to one buffer, as small parts would take far more memory
        than their bytes if each were an object.
        """
        if self._parts is not None:
            self._parts.write(data)
        elif self._first_part:
            self._parts = BytesIO()
            self._parts.write(self._first_part)
            self._parts.write(data)
            self._first_part = b''
        else:
            self._first_part = data
        self.body_bytes += len(data)
        self._check_body_size(self.body_bytes)

    def _check_body_size(self, size: int) -> None:
        if size > self.limits.body_bytes:
            self._record_oversize(
                ErrorKind.BODY_TOO_LARGE, self.limits.body_bytes
            )

    def on_message_complete(self) -> None:
        """Queue the message, unless it is an informational (1xx) response."""
        info = self.read_info()
        if _is_informational(info.status):
            return
        self.in_message = False
        message = self.build_message(info)
        self.completed.append(message)
        self.completed_bytes += message.count_bytes()
        self._drop_body()

    def take_message(self) -> Message | None:
        """Return the oldest message that is complete, or None."""
        if not self.completed:
            return None
        message = self.completed.popleft()
        self.completed_bytes -= message.count_bytes()
        return message

    def count_bytes(self) -> int:
        """Return the memory of what was received and not taken."""
        if not self.in_message:
            return self.completed_bytes
        return self.completed_bytes + self._count_head() + self.body_bytes

    def discard(self) -> None:
        """Drop what has been received of messages that were not taken."""
        self.completed.clear()
        self.completed_bytes = 0
        self.headers = []
        self._target = b''
        self._head_bytes = 0
        self.announced_bytes = 0
        self._drop_body()

    def build_message(self, info: MessageInfo) -> Message:
        """Build a message from the parts received so far.

        Args:
            info: Properties of the message, read from the parser.
        """
        return Message(
            target=self._target,
            headers=tuple(self.headers),
            body=self._get_body(),
            keep_alive=info.keep_alive,
            method=info.method,
            status=info.status,
            head_bytes=self._count_head(),
        )

    def _get_body(self) -> bytes:
        # `getvalue` returns the buffer itself, without a copy.
        if self._parts is None:
            return self._first_part
        return self._parts.getvalue()

    def _drop_body(self) -> None:
        self._first_part = b''
        self._parts = None
        self.body_bytes = 0

    def _count_head(self) -> int:
        return self._head_bytes + FIELD_OBJECT_BYTES * len(self.headers)

    def _add_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.limits.head_bytes:
            self._record_oversize(
                ErrorKind.HEAD_TOO_LARGE, self.limits.head_bytes
            )

    def _record_oversize(self, kind: ErrorKind, limit: int) -> None:
        if self.error is None:
            self.error = EbonystreamError(kind, f'more than {limit} bytes')


def _is_informational(status: int) -> bool:
    first_final_status = 200
    return 0 < status < first_final_status
