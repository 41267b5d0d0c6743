"""Collects what the parser reports into whole messages."""

from collections import deque
from collections.abc import Callable

import attrs

from ebonystream._calls import Headers
from ebonystream.errors import EbonystreamError, ErrorKind

FIELD_OVERHEAD_BYTES = 4
"""A header field's colon, space and line end."""


@attrs.frozen(kw_only=True)
class ReaderLimits:
    """The longest message that is taken.

    Attributes:
        head_bytes: Its request or status line with its header fields.
        body_bytes: Its body.
    """

    head_bytes: int
    body_bytes: int


@attrs.frozen(kw_only=True)
class Message:
    """One whole message.

    Attributes:
        target: The target of a request; empty in a response.
        headers: Header fields in the order they came, names in lower case.
        body: The whole body.
        keep_alive: Whether the connection can carry another message.
        method: The method of a request; empty in a response.
        status: The status of a response; 0 in a request.
    """

    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    method: bytes
    status: int


@attrs.frozen(kw_only=True)
class MessageInfo:
    """What the parser knows of the message that it reads.

    Attributes:
        method: The method of a request; empty in a response.
        status: The status of a response; 0 in a request.
        keep_alive: Whether the connection can carry another message.
    """

    method: bytes
    status: int
    keep_alive: bool


@attrs.define
class MessageCollector:
    """Takes the parser's reports; its methods are named by the parser.

    Attributes:
        limits: The longest message that is taken.
        read_info: Asks the parser about the message.
        completed: Whole messages that were not taken yet.
        in_message: Whether a part of a further message has come.
        in_body: Whether the head of that message is complete.
        error: What is wrong with it, if anything.
    """

    limits: ReaderLimits
    read_info: Callable[[], MessageInfo]
    completed: deque[Message] = attrs.field(factory=deque)
    in_message: bool = False
    in_body: bool = False
    error: EbonystreamError | None = None
    headers: list[tuple[bytes, bytes]] = attrs.field(factory=list)
    _target: bytes = b''
    _body: list[bytes] = attrs.field(factory=list)
    _head_bytes: int = 0
    _body_bytes: int = 0

    def on_message_begin(self) -> None:
        """Begin a message."""
        self.in_message = True
        self.in_body = False
        self.headers = []
        self._target = b''
        self._body = []
        self._head_bytes = 0
        self._body_bytes = 0

    def on_url(self, part: bytes) -> None:
        """Take a part of the target."""
        self._target += part
        self._count_head(len(part))

    def on_header(self, name: bytes, field: bytes) -> None:
        """Take a header field; one that trails the body is dropped."""
        if self.in_body:
            return
        self.headers.append((name.lower(), field))
        self._count_head(len(name) + len(field) + FIELD_OVERHEAD_BYTES)

    def on_headers_complete(self) -> None:
        """End the head."""
        self.in_body = True

    def on_body(self, part: bytes) -> None:
        """Take a part of the body."""
        self._body.append(part)
        self._body_bytes += len(part)
        if self._body_bytes > self.limits.body_bytes:
            self._fail(ErrorKind.BODY_TOO_LARGE, self.limits.body_bytes)

    def on_message_complete(self) -> None:
        """End the message."""
        facts = self.read_info()
        if _is_informational(facts.status):
            return
        self.in_message = False
        self.completed.append(self.build_message(facts))

    def build_message(self, facts: MessageInfo) -> Message:
        """Make a whole message of what has come.

        Args:
            facts: What the parser knows of it.
        """
        return Message(
            target=self._target,
            headers=tuple(self.headers),
            body=b''.join(self._body),
            keep_alive=facts.keep_alive,
            method=facts.method,
            status=facts.status,
        )

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.limits.head_bytes:
            self._fail(ErrorKind.HEAD_TOO_LARGE, self.limits.head_bytes)

    def _fail(self, kind: ErrorKind, limit: int) -> None:
        if self.error is None:
            self.error = EbonystreamError(kind, f'more than {limit} bytes')


def _is_informational(status: int) -> bool:
    first_final_status = 200
    return 0 < status < first_final_status
