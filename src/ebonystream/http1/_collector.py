"""Assemble the callbacks of the httptools parser into complete messages."""

from collections import deque
from collections.abc import Callable

import attrs

from ebonystream._calls import Headers
from ebonystream.errors import EbonystreamError, ErrorKind

FIELD_OVERHEAD_BYTES = 4
"""Bytes of a header field besides name and value: colon, space, line break."""


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
    """

    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    method: bytes
    status: int


@attrs.frozen(kw_only=True)
class MessageInfo:
    """Properties of the current message that are read from the parser.

    Attributes:
        method: Method of a request; empty in a response.
        status: Status code of a response; 0 in a request.
        keep_alive: Whether the connection can carry another message.
    """

    method: bytes
    status: int
    keep_alive: bool


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
    """

    limits: ReaderLimits
    read_info: Callable[[], MessageInfo]
    completed: deque[Message] = attrs.field(factory=deque)
    in_message: bool = False
    in_body: bool = False
    error: EbonystreamError | None = None
    headers: list[tuple[bytes, bytes]] = attrs.field(factory=list)
    body_bytes: int = 0
    _target: bytes = b''
    _body: list[bytes] = attrs.field(factory=list)
    _head_bytes: int = 0

    def on_message_begin(self) -> None:
        """Reset the state for a new message."""
        self.in_message = True
        self.in_body = False
        self.headers = []
        self._target = b''
        self._body = []
        self._head_bytes = 0
        self.body_bytes = 0

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

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._body.append(data)
        self.body_bytes += len(data)
        if self.body_bytes > self.limits.body_bytes:
            self._record_oversize(
                ErrorKind.BODY_TOO_LARGE, self.limits.body_bytes
            )

    def on_message_complete(self) -> None:
        """Queue the message, unless it is an informational (1xx) response."""
        info = self.read_info()
        if _is_informational(info.status):
            return
        self.in_message = False
        self.completed.append(self.build_message(info))

    def discard(self) -> None:
        """Drop what has been received of messages that were not taken."""
        self.completed.clear()
        self.headers = []
        self._target = b''
        self._body = []

    def build_message(self, info: MessageInfo) -> Message:
        """Build a message from the parts received so far.

        Args:
            info: Properties of the message, read from the parser.
        """
        return Message(
            target=self._target,
            headers=tuple(self.headers),
            body=b''.join(self._body),
            keep_alive=info.keep_alive,
            method=info.method,
            status=info.status,
        )

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
