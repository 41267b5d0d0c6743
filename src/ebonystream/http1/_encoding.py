"""Encode requests and responses."""

from collections.abc import Iterable
from http import HTTPStatus
from types import MappingProxyType

import attrs

from ebonystream._calls import Header

CRLF = b'\r\n'
REASON_PHRASES = MappingProxyType(
    {status.value: status.phrase for status in HTTPStatus}
)


MAX_JOINED_BODY_BYTES = 65_536
"""Larger bodies are sent after their head rather than copied behind it."""


@attrs.frozen
class SplitMessage:
    """An encoded message whose body is not copied.

    Attributes:
        head: The encoded head.
        body: The complete body.
    """

    head: bytes
    body: bytes


EncodedMessage = bytes | SplitMessage
"""A message that is ready to be sent."""


def encode_request_parts(
    method: bytes, target: bytes, headers: Iterable[Header], body: bytes
) -> EncodedMessage:
    """Encode a request; a large body is not copied.

    Args:
        method: Request method.
        target: Path with the query string.
        headers: Header fields without content-length, which is added here.
        body: The complete body.
    """
    start_line = b'%b %b HTTP/1.1' % (method, target)
    if len(body) <= MAX_JOINED_BODY_BYTES:
        return _encode(start_line, headers, body)
    return SplitMessage(_encode_head(start_line, headers, len(body)), body)


def encode_request(
    method: bytes, target: bytes, headers: Iterable[Header], body: bytes
) -> bytes:
    """Encode a request.

    Args:
        method: Request method.
        target: Path with the query string.
        headers: Header fields without content-length, which is added here.
        body: The complete body.
    """
    return _encode(b'%b %b HTTP/1.1' % (method, target), headers, body)


def encode_response(
    status: int, headers: Iterable[Header], body: bytes
) -> bytes:
    """Encode a response.

    Args:
        status: Status code.
        headers: Header fields without content-length, which is added here.
        body: The complete body.
    """
    phrase = REASON_PHRASES.get(status, '').encode()
    return _encode(b'HTTP/1.1 %d %b' % (status, phrase), headers, body)


def _encode(start_line: bytes, headers: Iterable[Header], body: bytes) -> bytes:
    return _encode_head(start_line, headers, len(body)) + body


def _encode_head(
    start_line: bytes, headers: Iterable[Header], body_bytes: int
) -> bytes:
    lines = [start_line]
    lines.extend(b'%b: %b' % field for field in headers)
    lines.append(b'content-length: %d' % body_bytes)
    head = CRLF.join(lines)
    # A line break within a field would allow header injection.
    assert head.count(b'\n') == len(lines) - 1, (
        'header field contains a line break'
    )
    return b'%b\r\n\r\n' % head
